package elderseam.policy;

/**
 * Decides how far an answer that may belong to another request is trusted, by what a wrong one would do to the request:
 * which connections may carry it, and whether it may be attempted again once its answer has proved wrong. Stateless.
 */
public final class AnswerTrust {
    private AnswerTrust() {}

    /**
     * Whether the final outcome of a request can still be corrected. That of an ordered request can't, since the next
     * one of its key is attempted at once.
     */
    public static boolean isCorrectable(RequestClass requestClass) {
        return !requestClass.ordered();
    }

    /**
     * Whether a request that counted as delivered by a wrong answer may be attempted again.
     *
     * @param keyValidUntil for {@link Idempotency#KEYED}: until when the destination recognizes a repeated attempt
     */
    public static boolean mayAttemptAgain(RequestClass requestClass, long keyValidUntil, long now) {
        return switch (requestClass.idempotency()) {
            case SAFE -> true;
            case KEYED -> now < keyValidUntil;
            case UNSAFE -> false;
        };
    }
}
