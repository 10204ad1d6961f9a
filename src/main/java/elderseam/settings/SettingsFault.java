package elderseam.settings;

import java.io.IOException;
import java.util.List;

/** All that is wrong with a settings file, a line each: {@code file:line: section.key: what is wrong, what is allowed}. */
public final class SettingsFault extends IOException {
    private static final long serialVersionUID = 1;
    private final transient List<String> faults;

    public SettingsFault(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    public List<String> faults() {
        return faults;
    }
}
