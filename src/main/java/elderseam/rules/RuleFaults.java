package elderseam.rules;

import elderseam.settings.SectionFile.Section;
import elderseam.settings.SectionFile.Value;
import elderseam.settings.SettingsFault;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the faults and warnings of one reading of rules files, each with its place: the files are used only if there
 * is no fault, and all faults are reported at once. Not thread-safe.
 */
final class RuleFaults {
    /** How many faults are reported. */
    private static final int MAX_REPORTED = 200;

    private final List<String> faults = new ArrayList<>();
    private final List<String> warnings = new ArrayList<>();

    /** A fault whose text names its place. */
    void add(String fault) {
        faults.add(fault);
    }

    /** A fault of a whole section. */
    void add(Section section, String problem) {
        faults.add(section.place() + problem);
    }

    /** A fault of the (first) value of a key that the section has. */
    void add(Section section, String key, String problem) {
        add(section, key, section.value(key), problem);
    }

    /** A fault of one of the values of a key. */
    void add(Section section, String key, Value value, String problem) {
        faults.add(section.place(value, key) + problem);
    }

    /** Something about the value of a key that is allowed, and most likely not intended. */
    void warn(Section section, String key, String problem) {
        warnings.add(section.place(section.value(key), key) + problem);
    }

    /** The faults so far, for readers that add to the list. */
    List<String> faults() {
        return faults;
    }

    List<String> warnings() {
        return List.copyOf(warnings);
    }

    /** Ends the reading if there was a fault. */
    void throwIfAny() throws SettingsFault {
        if (!faults.isEmpty()) {
            throw new SettingsFault(faults.subList(0, Math.min(faults.size(), MAX_REPORTED)));
        }
    }
}
