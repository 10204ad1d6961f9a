package elderseam.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.http.ResponseHead.Extent;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which heads the lenient reader finds, alone and where the strict one has stopped. */
class LenientHeadReaderTest {
    private final List<ResponseHead> heads = new ArrayList<>();
    private final LenientHeadReader reader = new LenientHeadReader(heads::add);

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void assertLatest(Extent extent, int statusCode, String wait) {
        ResponseHead latest = heads.get(heads.size() - 1);
        assertEquals(extent, latest.extent());
        assertEquals(statusCode, latest.statusCode());
        assertEquals(wait, latest.header("x-ratelimit-wait-ms"));
    }

    // Guards against issue 56: bytes that are no valid HTTP ahead of the wait make the strict reader stop, and it is
    // lost.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\u00ff\u0001junkHTTP/1.1 429 x\r\nX-RateLimit-Wait-Ms: 1500\r\n\r\n",
                "HTTP/1.1 429 x\r\nA: b\r\n folded\r\nX-RateLimit-Wait-Ms: 1500\r\n\r\n",
                "HTTP/1.1 429 x\r\nX-RateLimit-Wait-Ms:\r\n\t1500\r\n\r\n",
                "HTTP/1.1 429 x\r\nA: \0b\r\nX-RateLimit-Wait-Ms: 1500\r\n\r\n",
                "HTTP/1.1 429 x\r\nno header\r\nX-RateLimit-Wait-Ms: 1500\r\n\r\n",
                "HTTP/1.1 429 x\r\nContent-Length: 0\r\nContent-Length: 5\r\nX-RateLimit-Wait-Ms: 1500\n\n"
            })
    void aMalformedHeadIsReadToItsEnd(String response) {
        HttpResponseReader strict = new HttpResponseReader(100);
        ByteBuffer bytes = bytes(response);
        strict.read(bytes);
        strict.continueLeniently(reader);
        reader.read(bytes);
        assertLatest(Extent.COMPLETE, 429, "1500");
    }

    // Guards against issue 56: a copy that is cut, or that follows a cut one, tells its wait.
    @Test
    void headsFollowEachOtherWhereverTheyAreCut() {
        reader.read(bytes("HTTP/1.1 200 OK\r\nContent-Len"));
        reader.read(bytes("HTTP/1.1 429 x\r\nX-RateLimit-Wait-Ms: 15"));
        assertLatest(Extent.PARTIAL, 429, "15");
        reader.end();
        assertLatest(Extent.BROKEN_OFF, 429, "15");
    }

    // Guards against issue 56: of a rejection that is cut behind its status nothing is known, not even that it is one.
    @Test
    void aStatusLineThatIsCutTellsItsStatus() {
        reader.read(bytes("HTTP/1.1 429 Too M"));
        assertEquals(List.of(), heads);
        reader.end();
        assertLatest(Extent.BROKEN_OFF, 429, "");
    }

    // Guards against issue 56: a wait behind more headers than the strict reader accepts is lost.
    @Test
    void manyHeadersDoNotHideTheWait() {
        HttpResponseReader strict = new HttpResponseReader(100);
        StringBuilder response = new StringBuilder("HTTP/1.1 429 x\r\n");
        for (int i = 0; i < 900; i++) {
            response.append("X-Number-").append(i).append(": 123456789\r\n");
        }
        ByteBuffer bytes = bytes(response + "X-RateLimit-Wait-Ms: 1500\r\n\r\n");
        strict.read(bytes);
        strict.continueLeniently(reader);
        reader.read(bytes);
        assertLatest(Extent.COMPLETE, 429, "1500");
    }

    @Test
    void itStopsWhereAnEndpointSendsWithoutAnEnd() {
        ByteBuffer junk = bytes("x".repeat(16 << 10));
        int reads = 0;
        while (!reader.isExhausted()) {
            reader.read(junk.rewind());
            reads++;
        }
        assertEquals(16, reads);
    }

    @Test
    void whatIsNoHeadTellsNothing() {
        reader.read(bytes("X-RateLimit-Wait-Ms: 600000\r\n\r\n"));
        reader.end();
        assertEquals(List.of(), heads);
    }
}
