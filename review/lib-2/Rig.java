package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** What every case has: its record, its temporary folder, a platform, a client and the dispatcher's configuration. */
final class Rig {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    /** False with TROUBLE=0: the same without the disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Record record;
    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Platform platform;
    final Client client;
    final String listen;

    /** The limits in RELAY_CONFIG; those of the deploy page's example and of the scored days, unless a case sets others. */
    int memoryMb = 192;

    int sockets = 1_024;
    int diskMb = 3;

    /** {@code args}: the case's folder, and the temporary folder. */
    Rig(String[] args) throws IOException {
        record = new Record(Path.of(args[0]).resolve("record.txt"));
        folder = Path.of(args[1]);
        platform = new Platform(record);
        listen = "127.0.0.1:" + freePort();
        client = new Client(record, listen);
        record.line("case", trouble ? "with the disruption" : "without the disruption");
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Writes RELAY_CONFIG with these settings and the platform's list of now. */
    void configure(String settings) throws IOException {
        String json = "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"discovery\":\"" + platform.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + sockets + ",\"disk_mb\":" + diskMb + "},\"known\":" + platform.whole() + ",\"settings\":" + settings + "}";
        Path fresh = folder.resolve("config.fresh");
        Files.writeString(fresh, json);
        Files.move(fresh, folder.resolve("config.json"), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts a process on the state folder; {@code control}: its control address, or empty. */
    Dispatcher start(String name, String control, String settingsFile) throws IOException {
        return start(name, "n1", listen, folder.resolve("state"), control, settingsFile);
    }

    /** Starts another dispatcher, or a process of one: {@code relayName} at this address and on this folder. */
    Dispatcher start(
            String name, String relayName, String address, Path state, String control, String settingsFile)
            throws IOException {
        Files.createDirectories(state);
        Files.createDirectories(folder.resolve("tmp"));
        Map<String, String> variables = new LinkedHashMap<>();
        variables.put("RELAY_NAME", relayName);
        variables.put("RELAY_LISTEN", address);
        variables.put("RELAY_DISCOVERY", platform.address());
        variables.put("RELAY_STATE", state.toString());
        variables.put("RELAY_CONFIG", folder.resolve("config.json").toString());
        variables.put("TMPDIR", folder.resolve("tmp").toString());
        if (!control.isEmpty()) {
            variables.put("RELAY_CONTROL", control);
        }
        return new Dispatcher(record, name, root, variables, settingsFile);
    }

    /** Starts further dispatchers, n2 and so on, each with its own address and folder; they get no messages. */
    void startOthers(int count) throws IOException, InterruptedException {
        for (int i = 2; i < count + 2; i++) {
            String name = "n" + i;
            Dispatcher other =
                    start(name, name, "127.0.0.1:" + freePort(), folder.resolve("state-" + name), "", "");
            if (!other.awaitReady(30_000)) {
                end(NOT_RUN, name + " did not start");
            }
        }
    }

    /** Ends the case with its verdict. */
    void end(int verdict, String why) {
        record.line("case", (verdict == BROKEN ? "BROKEN: " : verdict == HELD ? "held: " : "could not run: ") + why);
        System.exit(verdict);
    }

    /** A class of messages. */
    static String lane(String name, String effect, String scope, long giveUpMs, long windowMs, boolean ordered) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"keyScope\":\"" + scope + "\",\"giveUpNs\":"
                + giveUpMs * 1_000_000L + ",\"targetNs\":3000000000,\"lateWorth\":0.5,\"points\":1.0,\"windowNs\":" + windowMs * 1_000_000L
                + ",\"fifoByKey\":" + ordered + "}";
    }

    /** A tenant. */
    static String org(String name, double share) {
        return "{\"name\":\"" + name + "\",\"quotaPerS\":50.0,\"share\":" + share + "}";
    }

    /** Settings of a small deployment, with the figures of the wire page's example where the case sets none. */
    static String settings(String zones, String orgs, String lanes) {
        return settings(zones, orgs, lanes, 175);
    }

    /** The same, for a dispatcher that may hold so many messages. */
    static String settings(String zones, String orgs, String lanes, int mostHeld) {
        return "{\"flavors\":[\"bank\",\"landlord-books\"],\"localities\":[" + zones + "],\"discovery\":\"ask\","
                + "\"weightKind\":\"nominal\",\"replicasOfMe\":1,\"zone\":0,\"extra\":{\"callSlots\":42,"
                + "\"fades\":\"line\",\"kindApart\":[false,false],\"batchByKind\":[1,1],\"zoneFee\":[0.0]},"
                + "\"limits\":{\"connIdleNs\":15000000000,\"connectTimeoutNs\":1500000000,\"maxAttempts\":12,"
                + "\"maxRetryAfterNs\":3000000000,\"mayCancel\":true,\"mostHeld\":" + mostHeld + ",\"multiplex\":1,"
                + "\"secondCopies\":false,\"probes\":true,\"retryAfter\":true},\"orgs\":[" + orgs + "],"
                + "\"overShareWorth\":0.1,\"prices\":{\"handshake\":0.06,\"crossZone\":0.0},\"safety\":{"
                + "\"coldNs\":9200000000,\"coldShare\":0.21,\"drainGraceNs\":2000000000,\"fallMultiple\":2.0,"
                + "\"fallNs\":3000000000,\"keyQuietNs\":100000000},\"services\":[" + lanes + "],"
                + "\"telemetry\":{\"fields\":[\"x0\",\"x1\"],\"source\":\"piggyback\"}}";
    }
}
