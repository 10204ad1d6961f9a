package elderseam.http;

import elderseam.http.ResponseHead.Extent;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the heads of responses in bytes that are not valid HTTP, or that no request asked for. It accepts whatever
 * {@link HttpResponseReader} rejects: bytes ahead of a status line, folded and overlong lines, control characters. A head
 * begins with a status line and ends with an empty line. The result is good enough for what a response asks of the
 * dispatcher, and for nothing that it grants. Confined to the I/O thread.
 */
final class LenientHeadReader {
    private static final int BYTE_MASK = 0xff;
    private static final int MAX_LINE_CHARACTERS = 1 << 10; // the rest of a longer line is dropped
    private static final int MAX_HEADERS = 1_000; // more than the strict reader accepts
    private static final int MAX_BYTES = 256 << 10; // bounds what a connection costs that sends without an end
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] ([1-5][0-9][0-9])");

    private final Consumer<ResponseHead> listener;
    private final StringBuilder line = new StringBuilder();
    private Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    private String lastHeader = ""; // the name of the header that a folded line continues
    private int statusCode; // 0 outside of a head
    private int unreadBytes = MAX_BYTES;
    private int lines;
    private int reportedLines;

    /** {@code listener}: receives each head that is found, as {@link ResponseHeadListener} tells. */
    LenientHeadReader(Consumer<ResponseHead> listener) {
        this.listener = listener;
    }

    /**
     * Begins within a head whose begin was read elsewhere.
     *
     * @param headers those that were read
     * @param lastHeader the name of the last of them, which a folded line continues
     * @param unread the text behind the last of them
     */
    void beginWithin(int statusCode, Map<String, String> headers, String lastHeader, CharSequence unread) {
        this.statusCode = statusCode;
        this.headers.putAll(headers);
        this.lastHeader = lastHeader;
        unread.chars().forEach(character -> readCharacter((char) character));
    }

    /** Whether so much was read that no more is. */
    boolean isExhausted() {
        return unreadBytes <= 0;
    }

    /** Reads all bytes, unless it is exhausted. */
    void read(ByteBuffer bytes) {
        unreadBytes -= bytes.remaining();
        while (bytes.hasRemaining() && !isExhausted()) {
            readCharacter((char) (bytes.get() & BYTE_MASK));
        }
        if (lines != reportedLines) {
            report(Extent.PARTIAL);
        }
    }

    /** No further bytes will be read. A status line that was cut behind its status still tells that. */
    void end() {
        if (statusCode == 0) {
            statusCode = lastStatus(line.toString());
            line.setLength(0);
        }
        report(Extent.BROKEN_OFF);
        statusCode = 0;
    }

    /** Reports the head that has begun, with the header that has no line end yet. */
    private void report(Extent extent) {
        reportedLines = lines;
        if (statusCode != 0) {
            listener.accept(ResponseHead.unfinished(statusCode, headers, line, extent));
        }
    }

    private void readCharacter(char character) {
        if (character == '\n') {
            readLine(line.toString());
            line.setLength(0);
        } else if ((character >= ' ' || character == '\t') && line.length() < MAX_LINE_CHARACTERS) {
            line.append(character);
        }
    }

    private void readLine(String text) {
        lines++;
        int status = lastStatus(text);
        if (status != 0) {
            beginHead(status);
        } else if (text.isBlank()) {
            endHead();
        } else if (Character.isWhitespace(text.charAt(0)) && !lastHeader.isEmpty()) {
            headers.merge(lastHeader, text.strip(), String::concat);
        } else if (headers.size() < MAX_HEADERS) {
            lastHeader = ResponseHead.addHeader(text, headers);
        }
    }

    /** The status of the last status line that begins in the text; 0 if there is none. */
    private static int lastStatus(String text) {
        int status = 0;
        Matcher statusLine = STATUS_LINE.matcher(text);
        while (statusLine.find()) {
            status = Integer.parseInt(statusLine.group(1));
        }
        return status;
    }

    /** The head before, if it has not ended, was cut: its rest will not arrive. */
    private void beginHead(int status) {
        line.setLength(0);
        end();
        reportedLines = 0;
        startOver(status);
    }

    private void endHead() {
        if (statusCode != 0) {
            listener.accept(new ResponseHead(statusCode, headers, Extent.COMPLETE));
        }
        startOver(0);
    }

    private void startOver(int status) {
        statusCode = status;
        headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        lastHeader = "";
    }
}
