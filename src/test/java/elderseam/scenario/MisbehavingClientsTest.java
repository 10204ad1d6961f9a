package elderseam.scenario;

import static elderseam.scenario.Scenario.play;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Requests in pieces, connections that stay silent, and clients that leave: others are served, and each end is counted. */
class MisbehavingClientsTest {
    @TempDir
    Path folder;

    @Test
    void piecesSilenceAndClientsThatLeaveHinderNobody() throws Exception {
        play(folder, """
                c raw POST /status-update HTTP/1.1\\r\\nHost: x\\r\\nX-Txn: pie
                silent raw
                l raw POST /status-update HTTP/1.1\\r\\nHost: x\\r\\nX-Txn: left\\r\\nContent-Length: 10\\r\\n\\r\\nhal
                l close
                c raw ces\\r\\nX-Org: erongo-lettings\\r\\nX-Addressing: dest=1\\r\\nX-Rem
                d send POST /status-update; X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 9000m; X-Txn: whole
                d expect 202
                h1 expect whole
                d close
                h1 send 200
                c raw aining: 9000m\\r\\nContent-Length: 4\\r\\n\\r\\nab
                c raw cd
                c expect 202
                h1 expect pieces; abcd
                h1 send 200
                silent wait closed
                operator wait INFO -> inflight=0
                operator ask INFO -> status-update.success=2; status-update.backend_calls=2; status-update.busy=0
                h1 wait quiet 100
                """);
    }
}
