package elderseam.testkit.acme;

import java.util.List;
import java.util.Set;

/** An account's order of a certificate for some DNS names. */
final class AcmeOrder {
    private final int number;
    private final String accountUrl;
    private final Set<String> dnsNames;
    private final List<AcmeAuthorization> authorizations;
    private AcmeStatus status = AcmeStatus.PENDING;
    private String chainPem; // null until it is finalized

    /** {@code authorizations}: one for each name, in their order. */
    AcmeOrder(int number, String accountUrl, Set<String> dnsNames, List<AcmeAuthorization> authorizations) {
        this.number = number;
        this.accountUrl = accountUrl;
        this.dnsNames = dnsNames;
        this.authorizations = List.copyOf(authorizations);
    }

    /** Its number in URLs. */
    int number() {
        return number;
    }

    String accountUrl() {
        return accountUrl;
    }

    Set<String> dnsNames() {
        return dnsNames;
    }

    List<AcmeAuthorization> authorizations() {
        return authorizations;
    }

    /** Its status; while it is pending, by those of its authorizations. */
    AcmeStatus status() {
        if (status == AcmeStatus.PENDING) {
            if (anyAuthorizationIs(AcmeStatus.INVALID)) {
                status = AcmeStatus.INVALID;
            } else if (!anyAuthorizationIs(AcmeStatus.PENDING)) {
                status = AcmeStatus.READY;
            }
        }
        return status;
    }

    private boolean anyAuthorizationIs(AcmeStatus wanted) {
        return authorizations.stream().anyMatch(authorization -> authorization.status() == wanted);
    }

    /** The certificate's chain in PEM; null until the order is finalized. */
    String chainPem() {
        return chainPem;
    }

    /** Ends the order with its certificate's chain. */
    void complete(String chainPem) {
        this.chainPem = chainPem;
        status = AcmeStatus.VALID;
    }
}
