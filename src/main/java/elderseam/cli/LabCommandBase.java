package elderseam.cli;

import elderseam.testkit.emulator.Policies;
import java.util.List;
import java.util.Locale;

/** What the experiments share: the check of policies' names, and a progress bar. */
abstract class LabCommandBase extends CommandBase {
    private static final int PROGRESS_BAR_CELLS = 30;

    /** Throws a usage fault for the first name that is no policy. */
    final void requirePolicies(List<String> names) {
        for (String name : names) {
            if (!Policies.names().contains(name)) {
                throw usageFault("no policy '" + name + "', allowed: " + String.join(", ", Policies.names()));
            }
        }
    }

    /** Draws the progress bar anew, on standard error; {@code fraction} is 1 for all that is to be done. */
    final void showProgress(String label, double fraction) {
        int full = (int) Math.round(PROGRESS_BAR_CELLS * Math.min(1, fraction));
        String done = "#".repeat(full);
        String open = ".".repeat(PROGRESS_BAR_CELLS - full);
        err().printf(Locale.ROOT, "\r[%s%s] %s", done, open, label);
        err().flush();
    }
}
