package org.umbermount.kernel;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON value together with its name, for sentences that say what is wrong with it. It is read by Jackson's
 * streaming parser: binding classes would more than double what reading a small file costs at a start.
 */
public final class JsonValue {
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(40).build())
            .build();
    private static final Object NULL = new Object();

    private final String name;
    private final Object value;

    /** A value is not what it must be; the message is a clause that names it. */
    public static final class WrongException extends Exception {
        WrongException(String message) {
            super(message);
        }
    }

    private JsonValue(String name, Object value) {
        this.name = name;
        this.value = value;
    }

    /** Reads one whole object. */
    public static JsonValue parse(byte[] bytes) throws WrongException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new WrongException("it is not an object");
            }
            Object value = read(parser);
            if (parser.nextToken() != null) {
                throw new WrongException("something follows the object");
            }
            return new JsonValue("", value);
        } catch (IOException e) {
            String message = e.getMessage();
            int end = message.indexOf('\n');
            throw new WrongException("it is not whole JSON: " + (end < 0 ? message : message.substring(0, end)));
        }
    }

    private static Object read(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> object = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String field = parser.currentName();
                    parser.nextToken();
                    object.put(field, read(parser));
                }
                return object;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(read(parser));
                }
                return list;
            }
            case VALUE_STRING -> {
                return parser.getText();
            }
            case VALUE_NUMBER_INT -> {
                // What does not fit is kept as a fraction, and refused where a whole number is asked for.
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) parser.getDoubleValue()
                        : (Object) parser.getLongValue();
            }
            case VALUE_NUMBER_FLOAT -> {
                return parser.getDoubleValue();
            }
            case VALUE_TRUE -> {
                return Boolean.TRUE;
            }
            case VALUE_FALSE -> {
                return Boolean.FALSE;
            }
            default -> {
                return NULL;
            }
        }
    }

    /** A sentence's end about this value. */
    public WrongException wrong(String what) {
        return new WrongException(name + " " + what);
    }

    private String path(String child) {
        return name.isEmpty() ? child : name + "." + child;
    }

    private Map<?, ?> map() {
        return value instanceof Map<?, ?> m ? m : Map.of();
    }

    /** Whether the member is there and not null. */
    public boolean has(String child) {
        Object v = map().get(child);
        return v != null && v != NULL;
    }

    public JsonValue member(String child) throws WrongException {
        if (!has(child)) {
            throw new WrongException(path(child) + " is missing");
        }
        return new JsonValue(path(child), map().get(child));
    }

    public JsonValue object(String child) throws WrongException {
        JsonValue form = member(child);
        if (!(form.value instanceof Map)) {
            throw form.wrong("must be an object");
        }
        return form;
    }

    /** The member, or an empty object. */
    public JsonValue optional(String child) throws WrongException {
        return has(child) ? object(child) : new JsonValue(path(child), Map.of());
    }

    public Map<String, JsonValue> members() {
        Map<String, JsonValue> out = new LinkedHashMap<>();
        map().forEach((k, v) -> out.put((String) k, new JsonValue(path((String) k), v)));
        return out;
    }

    public List<JsonValue> array(String child) throws WrongException {
        JsonValue form = member(child);
        if (!(form.value instanceof List<?> list)) {
            throw form.wrong("must be a list");
        }
        List<JsonValue> out = new ArrayList<>();
        for (Object v : list) {
            out.add(new JsonValue(form.name + "[" + out.size() + "]", v));
        }
        return out;
    }

    public String text() throws WrongException {
        if (!(value instanceof String text) || text.isEmpty()) {
            throw wrong("must be a text");
        }
        return text;
    }

    public String text(String child, String otherwise) throws WrongException {
        return has(child) ? member(child).text() : otherwise;
    }

    public boolean flag() throws WrongException {
        if (!(value instanceof Boolean flag)) {
            throw wrong("must be true or false");
        }
        return flag;
    }

    public double number(double least, double most) throws WrongException {
        if (!(value instanceof Number n) || n.doubleValue() < least || n.doubleValue() > most) {
            throw wrong("must be a number from " + (long) least + " to " + (long) most);
        }
        return n.doubleValue();
    }

    public double number(String child, double otherwise) throws WrongException {
        return has(child) ? member(child).number(0, Integer.MAX_VALUE) : otherwise;
    }

    public long whole(long least, long most) throws WrongException {
        if (value instanceof Long n && n >= least && n <= most) {
            return n;
        }
        // 5000.0 is a whole number too, as long as it has kept its last digit.
        if (value instanceof Double d && d == Math.rint(d) && Math.abs(d) < 1L << 53 && d >= least && d <= most) {
            return d.longValue();
        }
        throw wrong("must be a whole number from " + least + " to " + most);
    }

    public long whole(String child, long least, long most, long otherwise) throws WrongException {
        return has(child) ? member(child).whole(least, most) : otherwise;
    }

    public DaemonAddress address() throws WrongException {
        try {
            return DaemonAddress.parse(text());
        } catch (IllegalArgumentException e) {
            throw wrong("must hold an IPv4 address and a port");
        }
    }

    /** An address without a port. */
    public DaemonAddress host() throws WrongException {
        try {
            return DaemonAddress.parse(text() + ":1");
        } catch (IllegalArgumentException e) {
            throw wrong("must be an IPv4 address");
        }
    }
}
