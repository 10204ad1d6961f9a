package elderseam.scenario;

import static elderseam.scenario.Scenario.play;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that keep to nothing, on both fronts: each gets an error or a close within 3 s, and harms no other. */
class InvalidRequestTest {
    private static final String HEAD =
            " HTTP/1.1\\r\\nHost: relay\\r\\nX-Org: erongo-lettings\\r\\nX-Addressing: dest=1\\r\\n"
                    + "X-Remaining: 9000m\\r\\nce-specversion: 1.0\\r\\nce-type: rent-payment\\r\\nce-source: /b\\r\\n"
                    + "ce-destination: 1\\r\\nce-id: 1\\r\\nX-Txn: bad\\r\\n";

    @TempDir
    Path folder;

    private void plays(String script) throws Exception {
        play(
                folder,
                script.replace("{pay}", "POST /rent-payment" + HEAD)
                        .replace("{event}", "POST /events" + HEAD)
                        .replace(
                                "{good2}",
                                "c send POST /status-update; X-Org: erongo-lettings; X-Addressing: dest=1;"
                                        + " X-Remaining: 9000m; X-Txn: b | two\nc expect 202\nh1 expect X-Txn: b")
                        .replace("{good}", """
                        c send POST /status-update; X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 9000m; X-Txn: a
                        c expect 202
                        h1 expect X-Txn: a
                        h1 send 200
                        h1 wait quiet 100
                        """));
    }

    /** Nothing, half a head, half a body: the connection is not kept until the client thinks better of it. */
    @ParameterizedTest
    @ValueSource(strings = {"c1", "e1"})
    void whatNeverBecomesARequestIsClosed(String client) throws Exception {
        plays("""
                c1 raw
                c1 wait closed 3000
                c1 raw {pay}X-Never
                c1 wait closed 3000
                c1 raw {event}Content-Length: 100\\r\\n\\r\\nhalf
                c1 wait closed 3000
                {good}
                """.replace("c1", client));
    }

    /** A head must be one, and where a body ends must be told once: a second reading could hide a request, and nothing of either passes on. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\n{pay}Content-Length: 0\\r\\n\\r\\n",
                "Transfer-Encoding: identity\\r\\n\\r\\n",
                "Transfer-Encoding: chunked, chunked\\r\\n\\r\\n0\\r\\n\\r\\n",
                "a line with no colon\\r\\nContent-Length: 0\\r\\n\\r\\n",
                "Content-Length : 0\\r\\n\\r\\n",
                " folded: 1\\r\\nContent-Length: 0\\r\\n\\r\\n",
                "Content-Length: 1\\r\\nContent-Length: 2\\r\\n\\r\\nxx",
                "Content-Length: +1\\r\\n\\r\\nx",
                "Content-Length: 2\\r\\n\\r\\nxx and more",
                "Content-Length: 0\\r\\n\\r\\n{pay}Content-Length: 0\\r\\n\\r\\n"
            })
    void whatCanBeReadTwoWaysIsRefused(String rest) throws Exception {
        plays("""
                c1 raw {pay}%1$s
                c1 expect 400; Connection: close
                c1 wait closed 3000
                e1 raw {event}%1$s
                e1 expect 400; Connection: close
                e1 wait closed 3000
                {good}
                {good2}
                """.formatted(rest));
    }

    /** These Undertow itself can't read. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: -5\\r\\n\\r\\nxx", "Content-Length: many\\r\\n\\r\\nxx"})
    void anUnreadableLengthIsClosed(String rest) throws Exception {
        plays("c1 raw {pay}" + rest + "\nc1 expect 400\nc1 wait closed 3000\ne1 raw {event}" + rest
                + "\ne1 expect 400\ne1 wait closed 3000\n{good}");
    }

    /** A huge body is turned away by its head, whether or not it comes. */
    @Test
    void aHugeBodyIsTurnedAwayAtOnce() throws Exception {
        plays("""
                c1 raw {pay}Content-Length: 62914560\\r\\n\\r\\n{64K}
                c1 expect 413
                e1 raw {event}Content-Length: 62914560\\r\\n\\r\\n{64K}
                e1 expect 413
                {good}
                """);
    }

    /** More silent connections than there are descriptors: the oldest make room, and the usual clients are served. */
    @Test
    void silentConnectionsStarveNobody() throws Exception {
        StringBuilder script = new StringBuilder();
        for (int i = 0; i < 400; i++) {
            script.append("s").append(i).append(" raw\n");
        }
        plays(
                script
                        + "s0 expect 503; Retry-After; Connection: close\ns0 wait closed 3000\ns200 expect 503\ns200 wait closed 3000\n{good}");
    }

    /** A new connection must have time to send: while idle ones can make room, it is not taken for a silent one. */
    @Test
    void aNewConnectionOutlivesACrowdThatAskedOnce() throws Exception {
        StringBuilder script = new StringBuilder();
        for (int i = 0; i < 140; i++) {
            script.append("s%1$d send GET /health/ready\ns%1$d expect 200\n".formatted(i));
        }
        script.append("c raw\n");
        for (int i = 140; i < 200; i++) { // side by side: whoever is silent for 1 s may give way
            script.append("s%d send GET /health/ready\n".formatted(i));
        }
        for (int i = 140; i < 200; i++) {
            script.append("s%d expect 200\n".formatted(i));
        }
        plays(script + "{good}");
    }

    /** Bodies that are being read share a bound (1 MB here): the one too many is turned away, not read into memory. */
    @Test
    void halfBodiesStayUnderTheirBound() throws Exception {
        StringBuilder script = new StringBuilder();
        for (int i = 0; i < 16; i++) {
            script.append("s").append(i).append(" raw {pay}Content-Length: 65536\\r\\n\\r\\nhalf\n");
        }
        plays(script + "s raw {pay}Content-Length: 65536\\r\\n\\r\\nhalf\ns expect 503\ns0 wait closed 3000\n{good}");
    }
}
