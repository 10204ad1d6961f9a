package elderseam.http;

import elderseam.http.ResponseHead.Extent;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * An incremental parser of one HTTP/1.x response (RFC 9112), with size limits. It is strict: any deviation makes the
 * response malformed, but the code of a status line that was parsed remains available. Interim responses (1xx) are
 * skipped. Undertow's own parser is not used: it has no size limit for a head, treats any 1xx as the final response,
 * and does not report the rest of a status line. Confined to the I/O thread.
 */
final class HttpResponseReader {
    private static final int MAX_HEAD_BYTES = 16 << 10; // including chunk headers and trailers
    private static final int BYTE_MASK = 0xff;
    private static final int HEX_RADIX = 16;

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");
    private static final Pattern HEADER_NAME = Pattern.compile("[!-~]+");
    private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9a-fA-F]{1,7}");
    private static final int MINOR_VERSION_INDEX = "HTTP/1.".length();
    private static final int STATUS_CODE_INDEX = "HTTP/1.1 ".length();
    private static final int STATUS_CODE_END = "HTTP/1.1 200".length();

    private enum State {
        STATUS_LINE,
        HEADERS,
        FIXED_LENGTH_BODY,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        BODY_UNTIL_CLOSE,
        COMPLETE,
        MALFORMED
    }

    private final int maxBodyBytes;
    private final StringBuilder line = new StringBuilder();
    private final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private State state = State.STATUS_LINE;
    private int headBytes;
    private int statusCode;
    private long remainingBytes; // unread bytes of the body or of the current chunk
    private boolean reusable = true;
    private String lastHeader = "";
    private boolean headComplete;
    private boolean headTaken;
    private int headLines;
    private int takenAtLine;

    /** Creates a parser that treats a response with more than {@code maxBodyBytes} of body as malformed. */
    HttpResponseReader(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Whether the whole response was read. */
    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Whether the input read so far cannot be completed to a valid response. */
    boolean isMalformed() {
        return state == State.MALFORMED;
    }

    /** Whether all headers of the final response were read. */
    boolean isHeadComplete() {
        return headComplete;
    }

    /**
     * Returns the head as far as it was read, with the header that has no line end yet. Empty before the status was read,
     * after the complete head was returned, and for a partial head if no line was added.
     */
    Optional<ResponseHead> takeHead(Extent unlessComplete) {
        boolean unchanged = takenAtLine == headLines && unlessComplete == Extent.PARTIAL;
        if (statusCode == 0 || headTaken || (!headComplete && unchanged)) {
            return Optional.empty();
        }
        takenAtLine = headLines;
        if (headComplete) {
            headTaken = true;
            return Optional.of(new ResponseHead(statusCode, headers, Extent.COMPLETE));
        }
        return Optional.of(ResponseHead.unfinished(statusCode, headers, line, unlessComplete));
    }

    /** Makes another reader go on where this one found the head malformed. */
    void continueLeniently(LenientHeadReader lenient) {
        lenient.beginWithin(statusCode, headers, lastHeader, line);
    }

    /** Whether the connection can carry another exchange after this response is complete. */
    boolean allowsReuse() {
        return reusable;
    }

    /** Returns the status code; 0 until the status line was read. */
    int statusCode() {
        return statusCode;
    }

    /** Returns the headers by case-insensitive name. */
    Map<String, String> headers() {
        return headers;
    }

    /** Returns a copy of the body. */
    byte[] body() {
        return body.toByteArray();
    }

    /** Reads the bytes that belong to the response; surplus bytes remain in the buffer. */
    void read(ByteBuffer bytes) {
        while (bytes.hasRemaining() && state != State.COMPLETE && state != State.MALFORMED) {
            if (state == State.FIXED_LENGTH_BODY || state == State.CHUNK_DATA || state == State.BODY_UNTIL_CLOSE) {
                readBody(bytes);
            } else {
                readCharacter((char) (bytes.get() & BYTE_MASK));
            }
        }
    }

    /** Called at the end of the stream, which also ends a body without a declared length. */
    void endOfStream() {
        boolean complete = state == State.BODY_UNTIL_CLOSE || state == State.COMPLETE;
        state = complete ? State.COMPLETE : State.MALFORMED;
    }

    private void readBody(ByteBuffer bytes) {
        int count =
                state == State.BODY_UNTIL_CLOSE ? bytes.remaining() : (int) Math.min(remainingBytes, bytes.remaining());
        if (body.size() + count > maxBodyBytes) {
            state = State.MALFORMED;
            return;
        }
        byte[] part = new byte[count];
        bytes.get(part);
        body.write(part, 0, count);
        remainingBytes -= count;
        if (remainingBytes == 0 && state != State.BODY_UNTIL_CLOSE) {
            state = state == State.FIXED_LENGTH_BODY ? State.COMPLETE : State.CHUNK_END;
        }
    }

    private void readCharacter(char character) {
        headBytes++;
        if (headBytes > MAX_HEAD_BYTES || isForbidden(character)) {
            line.append(character);
            state = State.MALFORMED;
        } else if (character != '\n') {
            line.append(character);
        } else {
            readLine();
        }
    }

    private static boolean isForbidden(char character) {
        return character < ' ' && character != '\t' && character != '\r' && character != '\n';
    }

    private void readLine() {
        headLines++;
        boolean endsWithCarriageReturn = line.length() > 0 && line.charAt(line.length() - 1) == '\r';
        String text = line.substring(0, line.length() - (endsWithCarriageReturn ? 1 : 0));
        state = text.indexOf('\r') >= 0 ? State.MALFORMED : stateAfter(text);
        if (state == State.MALFORMED) {
            line.append('\n');
        } else {
            line.setLength(0);
        }
    }

    private State stateAfter(String text) {
        return switch (state) {
            case STATUS_LINE -> readStatusLine(text);
            case HEADERS -> text.isEmpty() ? endOfHeaders() : readHeader(text);
            case CHUNK_SIZE -> readChunkSize(text.split(";", 2)[0].strip());
            case CHUNK_END -> text.isEmpty() ? State.CHUNK_SIZE : State.MALFORMED;
            default -> text.isEmpty() ? State.COMPLETE : State.TRAILERS;
        };
    }

    private State readStatusLine(String text) {
        if (!STATUS_LINE.matcher(text).matches()) {
            return State.MALFORMED;
        }
        statusCode = Integer.parseInt(text.substring(STATUS_CODE_INDEX, STATUS_CODE_END));
        reusable = text.charAt(MINOR_VERSION_INDEX) == '1'; // an HTTP/1.0 connection is not persistent by default
        return State.HEADERS;
    }

    private State readHeader(String text) {
        int colon = text.indexOf(':');
        if (colon < 1) {
            return State.MALFORMED;
        }
        String name = text.substring(0, colon);
        if (!HEADER_NAME.matcher(name).matches()) {
            return State.MALFORMED;
        }
        String value = text.substring(colon + 1).strip();
        lastHeader = name;
        boolean repeated = headers.putIfAbsent(name, value) != null;
        boolean framing = name.equalsIgnoreCase("Content-Length") || name.equalsIgnoreCase("Transfer-Encoding");
        return framing && repeated ? State.MALFORMED : State.HEADERS;
    }

    private State endOfHeaders() {
        if (statusCode < StatusCodes.OK) {
            return endOfInterimResponse();
        }
        headComplete = true;
        if ("close".equalsIgnoreCase(headers.getOrDefault("Connection", ""))) {
            reusable = false;
        }
        String length = headers.get("Content-Length");
        String encoding = headers.get("Transfer-Encoding");
        if (length != null && (encoding != null || !isAcceptableLength(length))) {
            return State.MALFORMED;
        }
        if (encoding != null) {
            return encoding.equalsIgnoreCase("chunked") ? State.CHUNK_SIZE : State.MALFORMED;
        }
        if (statusCode == StatusCodes.NO_CONTENT || statusCode == StatusCodes.NOT_MODIFIED || "0".equals(length)) {
            return State.COMPLETE;
        }
        if (length == null) {
            reusable = false;
            return State.BODY_UNTIL_CLOSE;
        }
        remainingBytes = Long.parseLong(length);
        return remainingBytes == 0 ? State.COMPLETE : State.FIXED_LENGTH_BODY;
    }

    private State endOfInterimResponse() {
        if (statusCode == StatusCodes.SWITCHING_PROTOCOLS) {
            return State.MALFORMED; // requests never ask for a protocol upgrade
        }
        statusCode = 0;
        headers.clear();
        return State.STATUS_LINE;
    }

    private boolean isAcceptableLength(String length) {
        return CONTENT_LENGTH.matcher(length).matches() && Long.parseLong(length) <= maxBodyBytes;
    }

    private State readChunkSize(String size) {
        if (!CHUNK_SIZE.matcher(size).matches()) {
            return State.MALFORMED;
        }
        remainingBytes = Integer.parseInt(size, HEX_RADIX);
        return remainingBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
    }
}
