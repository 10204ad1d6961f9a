package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.scenario.DispatcherProcess.Milestone;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What clients and messages can make the process keep stays within the memory that its limits give it. */
@Isolated("hundreds of connections at once")
class MemoryBoundsTest {
    private static final int FILE_LIMIT = 1_024;
    private static final int SMALL_MEMORY_MEGABYTES = 64;
    private static final int LARGE_BODY_BYTES = 64 << 10;
    private static final int LARGE_BODIES = 500;
    private static final long LARGE_BODY_INTERVAL_MS = 12;

    /** Long enough that some twenty connections carry the messages. */
    private static final long ANSWER_DELAY_MS = 200;

    private static final int CROWDED_MEMORY_MEGABYTES = 96;
    private static final int CROWD = 500;
    private static final int CLIENTS_BETWEEN_USUAL_ONES = 25;
    private static final int USUAL_BODY_BYTES = 212;
    private static final int MANY_FIELDS_COUNT = 1_950;
    private static final int FEW_NAMES = 30;
    private static final int ALLOWED_FIELDS_COUNT = 55;
    private static final int CLIENT_TIMEOUT_MS = 5_000;
    private static final int SERVICE_UNAVAILABLE = 503;

    @TempDir
    Path folder;

    /** Guards against a heap that fills with the bodies of messages that were answered long before their time was over. */
    @Test
    void theBodiesOfAnsweredMessagesAreNotKept() throws Exception {
        try (Scenario scenario = new Scenario(folder);
                AnsweringEndpoint endpoint = new AnsweringEndpoint(ANSWER_DELAY_MS)) {
            scenario.setEndpointServer("h1", endpoint.server());
            scenario.launcher()
                    .setSettings(DispatcherLauncher.defaultSettings().replace("\"callSlots\":16", "\"callSlots\":42"));
            scenario.launcher().setLimits(FILE_LIMIT, SMALL_MEMORY_MEGABYTES);
            scenario.start();
            String address = scenario.program().await(Milestone.CLIENTS_LISTENING);
            int taken = 0;
            for (int i = 0; i < LARGE_BODIES; i++) {
                taken += post(address, "large-" + i, LARGE_BODY_BYTES) == SERVICE_UNAVAILABLE ? 0 : 1;
                TimeUnit.MILLISECONDS.sleep(LARGE_BODY_INTERVAL_MS);
            }
            assertEquals(LARGE_BODIES, taken);
            assertServes(address, endpoint, "last");
        }
    }

    /** Guards against heads of very many fields, which take a hundred times their bytes, and against bodies that stall. */
    @ParameterizedTest
    @EnumSource
    void aCrowdThatStallsLeavesTheOthersTheirMemory(Stalled stalled) throws Exception {
        try (Scenario scenario = new Scenario(folder);
                AnsweringEndpoint endpoint = new AnsweringEndpoint(0)) {
            scenario.setEndpointServer("h1", endpoint.server());
            scenario.launcher().setLimits(FILE_LIMIT, CROWDED_MEMORY_MEGABYTES);
            scenario.start();
            String address = scenario.program().await(Milestone.CLIENTS_LISTENING);
            assertServes(address, endpoint, "before");
            List<Socket> crowd = new ArrayList<>();
            try {
                for (int i = 0; i < CROWD; i++) {
                    Socket client = connect(address);
                    crowd.add(client);
                    client.getOutputStream().write(stalled.start(i).getBytes(StandardCharsets.US_ASCII));
                    if (i % CLIENTS_BETWEEN_USUAL_ONES == 0) {
                        assertEquals(202, post(address, "beside-" + i, USUAL_BODY_BYTES), "beside " + i);
                    }
                }
                assertServes(address, endpoint, "beside");
            } finally {
                for (Socket client : crowd) {
                    client.close();
                }
            }
            assertServes(address, endpoint, "after");
        }
    }

    /** What a client of the crowd sends before it stops. */
    enum Stalled {
        MANY_FIELDS {
            @Override
            String start(int client) {
                return manyFields(client, MANY_FIELDS_COUNT);
            }
        },
        MANY_FIELDS_OF_FEW_NAMES {
            @Override
            String start(int client) {
                return manyFields(client, FEW_NAMES);
            }
        },
        ALLOWED_FIELDS {
            @Override
            String start(int client) {
                StringBuilder head = new StringBuilder(head("fields-" + client, 0));
                head.setLength(head.length() - "\r\n".length());
                for (int i = 0; i < ALLOWED_FIELDS_COUNT; i++) {
                    head.append("field-")
                            .append(i)
                            .append(": ")
                            .append("x".repeat(200))
                            .append("\r\n");
                }
                return head.toString();
            }
        },
        HALF_OF_A_BODY {
            @Override
            String start(int client) {
                return head("half-" + client, LARGE_BODY_BYTES) + "x".repeat(LARGE_BODY_BYTES / 2);
            }
        },
        MOST_OF_A_BODY {
            @Override
            String start(int client) {
                return head("most-" + client, 8_192) + "x".repeat(8_000);
            }
        };

        abstract String start(int client);

        private static String manyFields(int client, int distinctNames) {
            StringBuilder head = new StringBuilder(head("fields-" + client, 0));
            head.setLength(head.length() - "\r\n".length());
            for (int i = 0; i < MANY_FIELDS_COUNT; i++) {
                head.append(Integer.toString(i % distinctNames, Character.MAX_RADIX))
                        .append(":\r\n");
            }
            return head.toString();
        }
    }

    private static void assertServes(String address, AnsweringEndpoint endpoint, String id) throws Exception {
        assertEquals(202, post(address, id, 0), id);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RawHttpSocket.PATIENCE_S);
        while (!endpoint.got(id)) {
            assertTrue(System.nanoTime() < end, id + " is not sent on");
            TimeUnit.MILLISECONDS.sleep(LARGE_BODY_INTERVAL_MS);
        }
    }

    /** The status of the answer to a message that is safe to repeat. */
    private static int post(String address, String id, int bodyBytes) throws IOException {
        try (Socket socket = connect(address)) {
            socket.getOutputStream().write(head(id, bodyBytes).getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(new byte[bodyBytes]);
            return status(socket);
        }
    }

    private static Socket connect(String address) throws IOException {
        String[] hostAndPort = address.split(":");
        Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
        socket.setSoTimeout(CLIENT_TIMEOUT_MS);
        return socket;
    }

    private static String head(String id, int bodyBytes) {
        return "POST /status-update HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Org: erongo-lettings\r\n"
                + "X-Addressing: dest=1\r\nX-Remaining: 12000m\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    private static int status(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        String start = new String(in.readNBytes("HTTP/1.1 200".length()), StandardCharsets.US_ASCII);
        return Integer.parseInt(start.substring("HTTP/1.1 ".length()));
    }
}
