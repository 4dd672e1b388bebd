package io.quincelead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.quincelead.config.Settings;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashSet;
import java.util.Set;

/** Reads operators' JSON files and checks them against the schemas in the jar. */
final class ValidatedFile {
    private ValidatedFile() {}

    /**
     * Reads a file and checks it against a schema.
     *
     * @param schemaName resource name of the schema
     * @throws Settings.InvalidSettingsException if the file isn't JSON or violates the schema; the
     *     message names the file, each field and what is allowed
     */
    static JsonNode read(File file, String schemaName) throws Settings.InvalidSettingsException {
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(file);
        } catch (IOException e) {
            throw new Settings.InvalidSettingsException(
                    file
                            + ": can't be read as JSON: "
                            + String.valueOf(e.getMessage())
                                    .lines()
                                    .findFirst()
                                    .orElse("unreadable"));
        }
        Set<String> violations = new LinkedHashSet<>();
        try (InputStream schemaStream = ValidatedFile.class.getResourceAsStream("/" + schemaName)) {
            for (ValidationMessage message :
                    JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                            .getSchema(schemaStream)
                            .validate(root)) {
                violations.add(message.getMessage());
            }
        } catch (IOException e) {
            throw new IllegalStateException("the schema is not in the jar", e);
        }
        if (!violations.isEmpty()) {
            throw new Settings.InvalidSettingsException(
                    file + ": " + String.join("; ", violations));
        }
        return root;
    }
}
