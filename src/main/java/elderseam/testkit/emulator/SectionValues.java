package elderseam.testkit.emulator;

import elderseam.settings.SectionFile.Section;
import elderseam.settings.SectionFile.Value;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Reads the values of one section of a scenario file. An invalid value adds a fault, with its place and what is allowed, and reading
 * goes on; the value that is then returned is of no use. The keys that were read are the keys that the section may have.
 */
final class SectionValues {
    private static final Pattern NUMBER = Pattern.compile("\\d{1,12}(\\.\\d{1,9})?");

    /** Stands for text that is no number; below every minimum. */
    private static final double INVALID = -1;

    /** Null if the file has no such section: every value is then its default. */
    private final Section section;

    private final List<String> faults;
    private final List<String> knownKeys = new ArrayList<>();

    private SectionValues(Section section, List<String> faults) {
        this.section = section;
        this.faults = faults;
    }

    static SectionValues of(Section section, List<String> faults) {
        return new SectionValues(section, faults);
    }

    /** The values of a section that the file does not have. */
    static SectionValues absent(List<String> faults) {
        return new SectionValues(null, faults);
    }

    /** The section's name; empty if it is absent. */
    String name() {
        return section == null ? "" : section.name();
    }

    /** Adds a key to those that the section may have, without reading it. */
    void allow(String key) {
        if (section != null) {
            knownKeys.add(key);
        }
    }

    boolean has(String key) {
        return section != null && section.has(key);
    }

    /** The text of a value, without adding its key to those that the section may have. */
    String text(String key) {
        return section == null ? "" : section.text(key, "");
    }

    /** Adds a fault of a key; of the section itself if it lacks the key. */
    void addFault(String key, String description) {
        String place = section.has(key) ? section.place(section.value(key), key) : section.place();
        faults.add(place + "'" + text(key) + "' " + description);
    }

    double number(String key, double min, double max, double defaultValue) {
        if (section == null) {
            return defaultValue;
        }
        allow(key);
        if (!section.has(key)) {
            return defaultValue;
        }
        String text = text(key);
        double value = NUMBER.matcher(text).matches() ? Double.parseDouble(text) : INVALID;
        if (value < min || value > max) {
            addFault(key, "can't be used, allowed: " + min + " to " + max);
        }
        return value;
    }

    int integer(String key, int min, int max, int defaultValue) {
        double value = number(key, min, max, defaultValue);
        if (value != Math.rint(value)) {
            addFault(key, "can't be used, allowed: a whole number");
        }
        return (int) value;
    }

    /** A value of {@code on} or {@code off}. */
    boolean flag(String key, boolean defaultValue) {
        if (section == null) {
            return defaultValue;
        }
        allow(key);
        String text = section.text(key, defaultValue ? "on" : "off");
        if (!text.equals("on") && !text.equals("off")) {
            addFault(key, "can't be used, allowed: on or off");
        }
        return text.equals("on");
    }

    /** A value that is the wire name of a constant. */
    <E extends Enum<E> & Scenario.WireNamed> E constant(String key, Class<E> type, E defaultValue) {
        if (section == null) {
            return defaultValue;
        }
        allow(key);
        String text = section.text(key, defaultValue.wireName());
        for (E constant : type.getEnumConstants()) {
            if (constant.wireName().equals(text)) {
                return constant;
            }
        }
        List<String> allowed = Arrays.stream(type.getEnumConstants())
                .map(Scenario.WireNamed::wireName)
                .toList();
        addFault(key, "can't be used, allowed: " + String.join(", ", allowed));
        return defaultValue;
    }

    /** Adds a fault for each key that is not known, and for each that the section has twice. */
    void checkKeys() {
        if (section != null) {
            section.values().forEach(this::checkKey);
        }
    }

    private void checkKey(String key, List<Value> values) {
        if (!knownKeys.contains(key)) {
            String allowed = String.join(", ", knownKeys);
            faults.add(section.place(values.get(0), key) + "unknown key, allowed: " + allowed);
        } else if (values.size() > 1) {
            int firstLine = values.get(0).line();
            faults.add(section.place(values.get(1), key) + "told at line " + firstLine + " already, allowed: once");
        }
    }
}
