package org.umbermount.control;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.ErrorKind;
import org.umbermount.kernel.FaultException;
import org.umbermount.kernel.JsonValue;

/**
 * A change of named items of a configuration. Applied to the same version it makes the same bytes everywhere: an item keeps
 * its place when it is replaced, new ones follow in the order of the call.
 */
final class ConfigurationPatch {
    private static final List<String> LISTS = List.of("routeTable", "upstreams", "tenants");

    /** Built when first asked for: a controller of a site without such calls never loads it. */
    private static final class Json {
        static final ObjectMapper MAPPER = new ObjectMapper()
                .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
                .setNodeFactory(JsonNodeFactory.withExactBigDecimals(true));
    }

    private final ConfigurationRevision edition;
    private final Digest digest;
    private final Map<String, Map<String, JsonNode>> upsert = new HashMap<>();
    private final Map<String, Set<String>> remove = new HashMap<>();

    private ConfigurationPatch(ConfigurationRevision edition, Digest digest) {
        this.edition = edition;
        this.digest = digest;
    }

    ConfigurationRevision edition() {
        return edition;
    }

    /** The digest of the call, by which a repeat of it is known. */
    Digest digest() {
        return digest;
    }

    static ConfigurationPatch parse(byte[] call) throws FaultException {
        try {
            // The strict reader first: it refuses members that are there twice, and anything behind the object.
            JsonValue form = JsonValue.parse(call);
            ConfigurationPatch out = new ConfigurationPatch(
                    new ConfigurationRevision(form.member("revision").whole(1, Long.MAX_VALUE)),
                    Digest.ofCall("PATCH", call));
            JsonNode root = Json.MAPPER.readTree(call);
            for (Map.Entry<String, JsonValue> list :
                    form.optional("upsert").members().entrySet()) {
                out.readUpsert(
                        list.getKey(),
                        form.optional("upsert"),
                        root.path("upsert").path(list.getKey()));
            }
            for (Map.Entry<String, JsonValue> list :
                    form.optional("remove").members().entrySet()) {
                out.readRemove(list.getKey(), form.optional("remove"));
            }
            return out;
        } catch (JsonValue.WrongException e) {
            throw invalid(e.getMessage());
        } catch (IOException e) {
            throw invalid("it is not whole JSON");
        }
    }

    private void readUpsert(String list, JsonValue lists, JsonNode nodes)
            throws JsonValue.WrongException, FaultException {
        known(list);
        Map<String, JsonNode> items = new java.util.LinkedHashMap<>();
        int i = 0;
        for (JsonValue item : lists.array(list)) {
            String label = item.member("label").text();
            if (items.put(label, nodes.get(i++)) != null) {
                throw invalid("upsert." + list + " holds " + label + " twice");
            }
        }
        upsert.put(list, items);
    }

    private void readRemove(String list, JsonValue lists) throws JsonValue.WrongException, FaultException {
        known(list);
        Set<String> names = new HashSet<>();
        for (JsonValue name : lists.array(list)) {
            if (upsert.getOrDefault(list, Map.of()).containsKey(name.text())) {
                throw invalid(name.text() + " is both in upsert and in remove");
            }
            names.add(name.text());
        }
        remove.put(list, names);
    }

    private static void known(String list) throws FaultException {
        if (!LISTS.contains(list)) {
            throw invalid("there is no list " + list + " of named items");
        }
    }

    /** The whole that results; it is yet to be checked like any other. */
    byte[] applyTo(byte[] base) throws FaultException {
        try {
            ObjectNode root = (ObjectNode) Json.MAPPER.readTree(base);
            root.put("revision", edition.value());
            for (String list : LISTS) {
                if (upsert.containsKey(list) || remove.containsKey(list)) {
                    root.set(list, amended(list, root.path(list)));
                }
            }
            return Json.MAPPER.writeValueAsBytes(root);
        } catch (IOException e) {
            throw invalid("the version it builds on cannot be read");
        }
    }

    private ArrayNode amended(String list, JsonNode old) throws FaultException {
        Map<String, JsonNode> fresh = new java.util.LinkedHashMap<>(upsert.getOrDefault(list, Map.of()));
        Set<String> gone = remove.getOrDefault(list, Set.of());
        Set<String> replaced = new HashSet<>();
        ArrayNode out = Json.MAPPER.createArrayNode();
        for (JsonNode item : old) {
            String label = item.path("label").asText();
            if (gone.contains(label)) {
                continue;
            }
            JsonNode next = upsert.getOrDefault(list, Map.of()).get(label);
            if (next != null && !replaced.add(label)) {
                throw invalid(label + " names more than one item of " + list);
            }
            out.add(next == null ? item : next);
            fresh.remove(label);
        }
        fresh.values().forEach(out::add);
        return out;
    }

    private static FaultException invalid(String reason) {
        return new FaultException(ErrorKind.INVALID_CONFIGURATION, "The change is invalid: " + reason + ".");
    }
}
