package elderseam.app;

import elderseam.core.ActiveRequest;
import elderseam.core.AdmissionRules;
import elderseam.core.FinalOutcome;
import elderseam.core.RequestAttributes;
import java.util.List;
import java.util.function.Predicate;

/**
 * Stands before the operator's rules where the fleet agrees on versions. While the member is in doubt, a newer
 * version's rules may say otherwise: a new request is rejected, with a time to retry after. One whose id is known gets
 * the outcome that it has or waits for. Confined to the I/O thread.
 */
final class VersionGuard implements AdmissionRules {
    private static final String NO_CLASS_OR_DESTINATION = "the message tells no class or destination";

    private final ActiveVersion version;
    private final boolean rejectsInDoubt;
    private final long retryAfterNs;
    private final AdmissionRules rules; // null while there are none
    private final Predicate<String> isKnown;

    /**
     * Guards these rules.
     *
     * @param rules what is applied where the version is not in doubt, or null
     * @param isKnown whether a request of that id was accepted before
     */
    VersionGuard(
            ActiveVersion version,
            boolean rejectsInDoubt,
            long retryAfterNs,
            AdmissionRules rules,
            Predicate<String> isKnown) {
        this.version = version;
        this.rejectsInDoubt = rejectsInDoubt;
        this.retryAfterNs = retryAfterNs;
        this.rules = rules;
        this.isKnown = isKnown;
    }

    @Override
    public Decision evaluate(ActiveRequest.Message message, RequestAttributes attributes) {
        boolean rejects =
                rejectsInDoubt && version.current().number() > 0 && version.isInDoubt() && !isKnown.test(message.id());
        if (rejects) {
            return new Rejected(FinalOutcome.rejected(retryAfterNs));
        }
        if (rules != null) {
            return rules.evaluate(message, attributes);
        }
        boolean complete = message.classIndex() >= 0 && message.destination() >= 0;
        return complete ? new Admitted(message, List.of()) : new Invalid(message, NO_CLASS_OR_DESTINATION);
    }
}
