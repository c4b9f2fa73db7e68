package org.gypsumflow.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.ValidationException;

/** Reads and validates settings from a TOML file, and rejects settings that the program does not know. */
public final class SettingsReader {
    private static final TomlMapper TOML = new TomlMapper();

    private final ObjectNode root;
    private final Set<String> knownNames = new HashSet<>();

    private SettingsReader(ObjectNode root) {
        this.root = root;
    }

    /**
     * Reads and parses a settings file.
     *
     * @param file path of the TOML file
     * @return reader of its settings
     * @throws ValidationException if the file cannot be read or is not TOML
     */
    public static SettingsReader of(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException failure) {
            throw ValidationException.of("settings", "file \"" + file + "\" cannot be read: " + failure);
        }
    }

    /**
     * Parses settings in TOML.
     *
     * @param text text of a settings file; may be empty
     * @return reader of its settings
     * @throws ValidationException if the text is not TOML
     */
    public static SettingsReader parse(String text) {
        try {
            JsonNode parsed = TOML.readTree(text);
            boolean empty = parsed == null || parsed.isMissingNode();
            return new SettingsReader(empty ? JsonNodeFactory.instance.objectNode() : (ObjectNode) parsed);
        } catch (IOException failure) {
            throw ValidationException.of(
                    "settings",
                    "is not TOML: " + failure.getMessage().lines().findFirst().orElse(""));
        }
    }

    /**
     * Overrides a value of the file, as the option {@code --set} does.
     *
     * @param assignment {@code name=value}, where the name may contain dots; a whole number is set as a number,
     *     anything else as a string
     * @throws ValidationException if there is no name or no equals sign
     */
    public void override(String assignment) {
        int equals = assignment.indexOf('=');
        Check.isTrue(equals > 0, "--set", "\"" + assignment + "\" must look like name=value");
        String[] path = assignment.substring(0, equals).split("\\.", -1);
        ObjectNode node = root;
        for (int index = 0; index < path.length - 1; index++) {
            node = node.withObjectProperty(path[index]);
        }
        String value = assignment.substring(equals + 1);
        if (value.matches("-?\\d{1,18}")) {
            node.put(path[path.length - 1], Long.parseLong(value));
        } else {
            node.put(path[path.length - 1], value);
        }
    }

    /**
     * Returns a string that must be set.
     *
     * @param name name of the setting, with dots between its tables
     * @return value of the setting
     * @throws ValidationException if the setting is missing or not a string
     */
    public String requiredString(String name) {
        JsonNode value = findNode(name);
        Check.isTrue(!value.isMissingNode(), name, "is missing; a string is required");
        Check.isTrue(value.isTextual(), name, "is " + value + ", a string is required");
        return value.textValue();
    }

    /**
     * Returns a string that may be missing.
     *
     * @param name name of the setting, with dots between its tables
     * @return value of the setting, or empty if it is missing
     * @throws ValidationException if the setting is not a string
     */
    public Optional<String> optionalString(String name) {
        return findNode(name).isMissingNode() ? Optional.empty() : Optional.of(requiredString(name));
    }

    /**
     * Returns a string that must be one of the allowed values.
     *
     * @param name name of the setting, with dots between its tables
     * @param defaultValue value if it is missing
     * @param allowed accepted values
     * @return value of the setting, or the default
     * @throws ValidationException if the value, or the default of a missing setting, is not allowed
     */
    public String choice(String name, String defaultValue, Set<String> allowed) {
        String value = optionalString(name).orElse(defaultValue);
        Check.isTrue(allowed.contains(value), name, "is \"" + value + "\", allowed is one of " + allowed);
        return value;
    }

    /**
     * Returns a whole number within bounds.
     *
     * @param name name of the setting, with dots between its tables
     * @param defaultValue value if it is missing
     * @param min smallest accepted value
     * @param max largest accepted value
     * @return value of the setting, or the default
     * @throws ValidationException if the setting is not a whole number within the bounds
     */
    public int integer(String name, int defaultValue, int min, int max) {
        JsonNode value = findNode(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        Check.isTrue(
                value.isIntegralNumber(),
                name,
                "is " + value + ", an integer from " + min + " to " + max + " is required");
        return (int) Check.range(name, value.longValue(), min, max);
    }

    /**
     * Returns a switch.
     *
     * @param name name of the setting, with dots between its tables
     * @param defaultValue value if it is missing
     * @return value of the setting, or the default
     * @throws ValidationException if the setting is neither {@code true} nor {@code false}
     */
    public boolean flag(String name, boolean defaultValue) {
        JsonNode value = findNode(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        Check.isTrue(value.isBoolean(), name, "is " + value + ", true or false is required");
        return value.booleanValue();
    }

    /**
     * Returns a duration that is given in milliseconds.
     *
     * @param name name of the setting, with dots between its tables
     * @param defaultValue value if it is missing
     * @param min smallest accepted value, in milliseconds
     * @param max largest accepted value, in milliseconds
     * @return value of the setting, or the default
     * @throws ValidationException if the setting is not a whole number within the bounds
     */
    public Duration duration(String name, Duration defaultValue, int min, int max) {
        return Duration.ofMillis(integer(name, (int) defaultValue.toMillis(), min, max));
    }

    /**
     * Returns the strings of a table.
     *
     * @param name name of the table
     * @return values by key; empty if the table is missing
     * @throws ValidationException if a key is not a valid name or a value is not a string
     */
    public Map<String, String> stringTable(String name) {
        Map<String, String> values = new TreeMap<>();
        JsonNode table = findNode(name);
        table.fieldNames().forEachRemaining(key -> values.put(Check.name(name, key), requiredString(name + "." + key)));
        return values;
    }

    /**
     * Returns a list of strings.
     *
     * @param name name of the setting, with dots between its tables
     * @return values in their order; empty if the setting is missing
     * @throws ValidationException if the setting is not a list of strings
     */
    public List<String> stringList(String name) {
        List<String> values = new ArrayList<>();
        JsonNode list = findNode(name);
        Check.isTrue(list.isMissingNode() || list.isArray(), name, "is " + list + ", a list of strings is required");
        list.forEach(value -> {
            Check.isTrue(value.isTextual(), name, "contains " + value + ", a list of strings is required");
            values.add(value.textValue());
        });
        return values;
    }

    /**
     * Returns whether the file has a setting or a table at its top level.
     *
     * @param name name without dots
     * @return true if it is present
     */
    public boolean has(String name) {
        return root.has(name);
    }

    /**
     * Accepts settings of another role without reading their values.
     *
     * @param names names of the settings, with dots between their tables
     */
    public void ignore(Set<String> names) {
        knownNames.addAll(names);
    }

    /**
     * Rejects settings that were neither read nor ignored.
     *
     * @throws ValidationException if there is such a setting; the message gives its name and the known names
     */
    public void rejectUnknown() {
        rejectUnknownIn(root, "");
    }

    private JsonNode findNode(String name) {
        knownNames.add(name);
        JsonNode node = root;
        for (String segment : name.split("\\.", -1)) {
            node = node.path(segment);
        }
        return node;
    }

    private void rejectUnknownIn(JsonNode node, String prefix) {
        node.fieldNames().forEachRemaining(field -> {
            String name = prefix + field;
            if (knownNames.contains(name)) {
                return;
            }
            boolean isTable = node.get(field).isObject()
                    && knownNames.stream().anyMatch(knownName -> knownName.startsWith(name + "."));
            Check.isTrue(
                    isTable, name, "is not a setting of this program; known settings are " + new TreeSet<>(knownNames));
            rejectUnknownIn(node.get(field), name + ".");
        });
    }
}
