package elderseam.settings;

import java.io.IOException;
import java.util.List;

/** Everything that is wrong with an operator's file: a line per fault, which begins with the file and the line. */
public final class SettingsFault extends IOException {
    private static final long serialVersionUID = 1;
    private final transient List<String> faults;

    /** {@code faults} holds at least one line. */
    public SettingsFault(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    /** The faults, each {@code file:line: section.key: what is wrong, allowed: what is allowed}, in the order of the file. */
    public List<String> faults() {
        return faults;
    }
}
