package org.umbermount.kernel;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.util.Set;

/** A JSON schema from the class path, read on first use. */
public final class SchemaCheck {
    public static final SchemaCheck SETTINGS = new SchemaCheck("/org/umbermount/kernel/settings.schema.json");

    private final String resource;
    private JsonSchema schema;

    public SchemaCheck(String resource) {
        this.resource = resource;
    }

    /** The first thing that is wrong, as a clause naming the field; null if all is well. */
    public synchronized String firstProblem(byte[] json) {
        if (schema == null) {
            try (InputStream in = SchemaCheck.class.getResourceAsStream(resource)) {
                schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V7)
                        .getSchema(in);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
        Set<ValidationMessage> messages;
        try {
            messages = schema.validate(new ObjectMapper().readTree(json));
        } catch (IOException e) {
            return "it is not whole JSON";
        }
        for (ValidationMessage message : messages) {
            return message.getMessage().replaceFirst("^\\$\\.?:? ?", "");
        }
        return null;
    }
}
