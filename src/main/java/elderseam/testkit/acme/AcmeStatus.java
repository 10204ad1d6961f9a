package elderseam.testkit.acme;

/** The status of an order or an authorization (RFC 8555, section 7.1.6). */
enum AcmeStatus {
    PENDING("pending"),
    READY("ready"),
    VALID("valid"),
    INVALID("invalid");

    private final String wireName;

    AcmeStatus(String wireName) {
        this.wireName = wireName;
    }

    /** The status as it stands in JSON. */
    String wireName() {
        return wireName;
    }
}
