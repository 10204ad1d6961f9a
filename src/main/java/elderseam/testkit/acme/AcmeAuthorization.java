package elderseam.testkit.acme;

/** An account's authorization for one DNS name, with its one http-01 challenge, whose status is the same. */
final class AcmeAuthorization {
    private final int number;
    private final String accountUrl;
    private final String dnsName;
    private final String token;
    private AcmeStatus status = AcmeStatus.PENDING;

    AcmeAuthorization(int number, String accountUrl, String dnsName, String token) {
        this.number = number;
        this.accountUrl = accountUrl;
        this.dnsName = dnsName;
        this.token = token;
    }

    /** Its number in URLs. */
    int number() {
        return number;
    }

    String accountUrl() {
        return accountUrl;
    }

    String dnsName() {
        return dnsName;
    }

    /** The token of its challenge. */
    String token() {
        return token;
    }

    AcmeStatus status() {
        return status;
    }

    /** Records whether the challenge was met. */
    void decide(boolean proven) {
        status = proven ? AcmeStatus.VALID : AcmeStatus.INVALID;
    }
}
