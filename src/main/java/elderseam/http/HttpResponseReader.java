package elderseam.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * Reads one answer as its bytes come, within bounds, and trusts none of it: whatever does not fit makes it spoilt. The
 * code of its first line is kept even then. Answers 1xx before it are passed over. (Undertow's own parser knows no bound
 * for a head, takes any 1xx for the answer, and tells nothing of a first line whose rest is broken.)
 */
final class HttpResponseReader {
    private static final int MOST_HEAD = 16 << 10;
    private static final Pattern FIRST = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?"),
            NAME = Pattern.compile("[!-~]+"),
            LENGTH = Pattern.compile("[0-9]{1,18}"),
            SIZE = Pattern.compile("[0-9a-fA-F]{1,7}"); // once: each answer meets them

    enum State {
        LINE,
        HEADERS,
        FIXED,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        TO_END,
        WHOLE,
        SPOILT
    }

    private final int mostBody;
    private final StringBuilder line = new StringBuilder();
    private final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private State state = State.LINE;
    private int head, code;
    private long left;
    private boolean kept = true;

    HttpResponseReader(int mostBody) {
        this.mostBody = mostBody;
    }

    boolean whole() {
        return state == State.WHOLE;
    }

    boolean spoilt() {
        return state == State.SPOILT;
    }

    /** Whether the connection may be used again, once the answer is whole. */
    boolean kept() {
        return kept;
    }

    /** Of the first line, 0 before it could be read. */
    int code() {
        return code;
    }

    Map<String, String> headers() {
        return headers;
    }

    byte[] body() {
        return body.toByteArray();
    }

    /** Takes what belongs to the answer; what is left in the buffer does not. */
    void read(ByteBuffer bytes) {
        while (bytes.hasRemaining() && state != State.WHOLE && state != State.SPOILT) {
            if (state == State.FIXED || state == State.CHUNK || state == State.TO_END) {
                take(bytes);
            } else {
                letter((char) (bytes.get() & 0xff));
            }
        }
    }

    /** The other side sends no more. */
    void ended() {
        state = state == State.TO_END || state == State.WHOLE ? State.WHOLE : State.SPOILT;
    }

    private void take(ByteBuffer bytes) {
        int n = state == State.TO_END ? bytes.remaining() : (int) Math.min(left, bytes.remaining());
        if (body.size() + n > mostBody) {
            state = State.SPOILT;
            return;
        }
        byte[] part = new byte[n];
        bytes.get(part);
        body.write(part, 0, n);
        left -= n;
        if (left == 0 && state != State.TO_END) {
            state = state == State.FIXED ? State.WHOLE : State.CHUNK_END;
        }
    }

    private void letter(char c) {
        if (++head > MOST_HEAD || (c < ' ' && c != '\t' && c != '\r' && c != '\n')) {
            state = State.SPOILT;
        } else if (c != '\n') {
            line.append(c);
        } else {
            int end = line.length() - (line.length() > 0 && line.charAt(line.length() - 1) == '\r' ? 1 : 0);
            String text = line.substring(0, end);
            line.setLength(0);
            state = text.indexOf('\r') >= 0 ? State.SPOILT : next(text);
        }
    }

    private State next(String text) {
        return switch (state) {
            case LINE -> first(text);
            case HEADERS -> text.isEmpty() ? headEnded() : header(text);
            case CHUNK_SIZE -> chunk(text.split(";", 2)[0].strip());
            case CHUNK_END -> text.isEmpty() ? State.CHUNK_SIZE : State.SPOILT;
            default -> text.isEmpty() ? State.WHOLE : State.TRAILERS;
        };
    }

    private State first(String text) {
        if (!FIRST.matcher(text).matches()) {
            return State.SPOILT;
        }
        code = Integer.parseInt(text.substring(9, 12));
        kept = text.charAt(7) == '1';
        return State.HEADERS;
    }

    private State header(String text) {
        int colon = text.indexOf(':');
        if (colon < 1 || !NAME.matcher(text.substring(0, colon)).matches()) {
            return State.SPOILT;
        }
        String name = text.substring(0, colon),
                value = text.substring(colon + 1).strip();
        String before = headers.putIfAbsent(name, value);
        boolean length = name.equalsIgnoreCase("Content-Length") || name.equalsIgnoreCase("Transfer-Encoding");
        return length && before != null ? State.SPOILT : State.HEADERS;
    }

    private State headEnded() {
        if (code < 200) {
            if (code == 101) {
                return State.SPOILT;
            }
            code = 0;
            headers.clear();
            return State.LINE;
        }
        String length = headers.get("Content-Length"), encoding = headers.get("Transfer-Encoding");
        kept &= !"close".equalsIgnoreCase(headers.getOrDefault("Connection", ""));
        if (length != null
                && (encoding != null || !LENGTH.matcher(length).matches() || Long.parseLong(length) > mostBody)) {
            return State.SPOILT;
        }
        if (encoding != null) {
            return encoding.equalsIgnoreCase("chunked") ? State.CHUNK_SIZE : State.SPOILT;
        }
        if (code == 204 || code == 304 || "0".equals(length)) {
            return State.WHOLE;
        }
        kept &= length != null;
        left = length == null ? 0 : Long.parseLong(length);
        return length == null ? State.TO_END : left == 0 ? State.WHOLE : State.FIXED;
    }

    private State chunk(String size) {
        if (!SIZE.matcher(size).matches()) {
            return State.SPOILT;
        }
        left = Integer.parseInt(size, 16);
        return left == 0 ? State.TRAILERS : State.CHUNK;
    }

    @Override
    public String toString() {
        return state + " " + code + " " + headers + " " + body.toString(StandardCharsets.ISO_8859_1);
    }
}
