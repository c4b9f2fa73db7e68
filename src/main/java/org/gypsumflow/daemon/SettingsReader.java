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

/** Reads checked values from a TOML file and refuses what it does not know. */
public final class SettingsReader {
    private static final TomlMapper TOML = new TomlMapper();

    private final ObjectNode root;
    private final Set<String> known = new HashSet<>();

    private SettingsReader(ObjectNode root) {
        this.root = root;
    }

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the reader
     * @throws ValidationException if the file cannot be read or is not TOML
     */
    public static SettingsReader of(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException unreadable) {
            throw ValidationException.of("settings", "file \"" + file + "\" cannot be read: " + unreadable);
        }
    }

    /**
     * Reads a text.
     *
     * @param text settings in TOML
     * @return the reader
     * @throws ValidationException if the text is not TOML
     */
    public static SettingsReader parse(String text) {
        try {
            JsonNode parsed = TOML.readTree(text);
            boolean empty = parsed == null || parsed.isMissingNode();
            return new SettingsReader(empty ? JsonNodeFactory.instance.objectNode() : (ObjectNode) parsed);
        } catch (IOException malformed) {
            throw ValidationException.of(
                    "settings",
                    "is not TOML: " + malformed.getMessage().lines().findFirst().orElse(""));
        }
    }

    /**
     * Puts a value above the file, as an option of the command line does.
     *
     * @param assignment {@code name=value}, where the name may hold dots
     * @throws ValidationException if there is no equals sign
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
     * Reads a text that must be there.
     *
     * @param name name of the setting
     * @return the value
     */
    public String requiredString(String name) {
        JsonNode value = find(name);
        Check.isTrue(!value.isMissingNode(), name, "is missing; a text is needed");
        Check.isTrue(value.isTextual(), name, "is " + value + ", a text is needed");
        return value.textValue();
    }

    /**
     * Reads a text that may be missing.
     *
     * @param name name of the setting
     * @return the value, or empty
     */
    public Optional<String> optionalString(String name) {
        return find(name).isMissingNode() ? Optional.empty() : Optional.of(requiredString(name));
    }

    /**
     * Reads a text that is one of a few.
     *
     * @param name name of the setting
     * @param standard value if it is missing
     * @param allowed accepted values
     * @return the value
     */
    public String choice(String name, String standard, Set<String> allowed) {
        String value = optionalString(name).orElse(standard);
        Check.isTrue(allowed.contains(value), name, "is \"" + value + "\", allowed is one of " + allowed);
        return value;
    }

    /**
     * Reads a whole number.
     *
     * @param name name of the setting
     * @param standard value if it is missing
     * @param least smallest accepted value
     * @param most largest accepted value
     * @return the value
     */
    public int integer(String name, int standard, int least, int most) {
        JsonNode value = find(name);
        if (value.isMissingNode()) {
            return standard;
        }
        Check.isTrue(
                value.isIntegralNumber(),
                name,
                "is " + value + ", a whole number from " + least + " to " + most + " is needed");
        return (int) Check.range(name, value.longValue(), least, most);
    }

    /**
     * Reads a time in milliseconds.
     *
     * @param name name of the setting
     * @param standard value if it is missing
     * @param least smallest accepted value, in milliseconds
     * @param most largest accepted value, in milliseconds
     * @return the time
     */
    public Duration duration(String name, Duration standard, int least, int most) {
        return Duration.ofMillis(integer(name, (int) standard.toMillis(), least, most));
    }

    /**
     * Reads a table of texts.
     *
     * @param name name of the table
     * @return the values by name, empty if the table is missing
     */
    public Map<String, String> stringTable(String name) {
        Map<String, String> values = new TreeMap<>();
        JsonNode table = find(name);
        table.fieldNames().forEachRemaining(key -> values.put(Check.name(name, key), requiredString(name + "." + key)));
        return values;
    }

    /**
     * Reads a list of texts.
     *
     * @param name name of the setting
     * @return the values, empty if the list is missing
     */
    public List<String> stringList(String name) {
        List<String> values = new ArrayList<>();
        JsonNode list = find(name);
        Check.isTrue(list.isMissingNode() || list.isArray(), name, "is " + list + ", a list of texts is needed");
        list.forEach(value -> {
            Check.isTrue(value.isTextual(), name, "holds " + value + ", a list of texts is needed");
            values.add(value.textValue());
        });
        return values;
    }

    /**
     * Tells whether a setting or a table is there.
     *
     * @param name its name
     * @return true if it is
     */
    public boolean has(String name) {
        return root.has(name);
    }

    /**
     * Accepts settings that belong to another role, whatever they hold.
     *
     * @param names names of the settings
     */
    public void ignore(Set<String> names) {
        known.addAll(names);
    }

    /**
     * Refuses settings that were never asked for.
     *
     * @throws ValidationException if there is one; the message names it
     */
    public void rejectUnknown() {
        refuseUnknown(root, "");
    }

    private JsonNode find(String name) {
        known.add(name);
        JsonNode node = root;
        for (String step : name.split("\\.", -1)) {
            node = node.path(step);
        }
        return node;
    }

    private void refuseUnknown(JsonNode node, String prefix) {
        node.fieldNames().forEachRemaining(field -> {
            String name = prefix + field;
            if (known.contains(name)) {
                return;
            }
            boolean isTable =
                    node.get(field).isObject() && known.stream().anyMatch(each -> each.startsWith(name + "."));
            Check.isTrue(isTable, name, "is not a setting of this program; known are " + new TreeSet<>(known));
            refuseUnknown(node.get(field), name + ".");
        });
    }
}
