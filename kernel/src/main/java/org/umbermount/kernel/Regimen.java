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
public final class Regimen {
    public static final Regimen SETTINGS = new Regimen("/org/umbermount/kernel/settings.schema.json");

    private final String resource;
    private JsonSchema schema;

    public Regimen(String resource) {
        this.resource = resource;
    }

    /** The first thing that is wrong, as a clause naming the field; null if all is well. */
    public synchronized String firstProblem(byte[] json) {
        if (schema == null) {
            try (InputStream in = Regimen.class.getResourceAsStream(resource)) {
                schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V7).getSchema(in);
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
