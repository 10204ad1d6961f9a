package elderseam.testkit.acme;

import java.net.HttpURLConnection;

/** Why a request is refused: a problem document of RFC 8555, section 6.7. */
final class AcmeProblem extends Exception {
    private static final long serialVersionUID = 1L;
    private static final String TYPE_PREFIX = "urn:ietf:params:acme:error:";
    private static final int TOO_MANY_REQUESTS = 429;

    private final int statusCode;
    private final String type;

    private AcmeProblem(int statusCode, String type, String detail) {
        super(detail);
        this.statusCode = statusCode;
        this.type = type;
    }

    /** A request that is refused with status 400, for a reason of that name in RFC 8555. */
    static AcmeProblem badRequest(String type, String detail) {
        return new AcmeProblem(HttpURLConnection.HTTP_BAD_REQUEST, type, detail);
    }

    /** A request that is malformed. */
    static AcmeProblem malformed(String detail) {
        return badRequest("malformed", detail);
    }

    /** A resource that does not exist. */
    static AcmeProblem notFound(String detail) {
        return new AcmeProblem(HttpURLConnection.HTTP_NOT_FOUND, "malformed", detail);
    }

    /** A method that no resource takes. */
    static AcmeProblem badMethod(String detail) {
        return new AcmeProblem(HttpURLConnection.HTTP_BAD_METHOD, "malformed", detail);
    }

    /** A request for what is not the account's, or for what it may not do now. */
    static AcmeProblem forbidden(String type, String detail) {
        return new AcmeProblem(HttpURLConnection.HTTP_FORBIDDEN, type, detail);
    }

    /** A request for more than is kept. */
    static AcmeProblem rateLimited(String detail) {
        return new AcmeProblem(TOO_MANY_REQUESTS, "rateLimited", detail);
    }

    /** The answer's HTTP status. */
    int statusCode() {
        return statusCode;
    }

    /** The problem's type, a URN. */
    String typeUrn() {
        return TYPE_PREFIX + type;
    }
}
