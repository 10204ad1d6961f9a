package elderseam.scenario;

import elderseam.gossip.security.KeyFile;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** Dispatchers that gossip on the loopback, each a process with an address, a key and a line of the roster of its own. */
abstract class GossipFleet {
    static final String SAY =
            "c%1$s send POST /status-update; X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 9000m; X-Txn: %2$s\n"
                    + "c%1$s expect 202\nh1 expect %2$s\nh1 send 200\n";

    @TempDir
    Path folder;

    private final Map<String, Scenario> programs = new LinkedHashMap<>();
    final Map<String, InetAddress> at = new LinkedHashMap<>();
    private final Map<String, String> lines = new LinkedHashMap<>();
    int port;
    Process liar;

    @AfterEach
    void end() throws Exception {
        if (liar != null) {
            liar.destroyForcibly().waitFor();
        }
        for (Scenario s : programs.values()) {
            s.close();
        }
    }

    /** Keys for these, and a roster of them all; each has an address of its own. */
    final void roster(String... names) throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort(); // at addresses that nobody else uses
        }
        for (String name : names) {
            at.put(name, RawHttpSocket.own());
            Files.createDirectories(folder.resolve(name));
            lines.put(
                    name,
                    name + " " + at.get(name).getHostAddress() + " "
                            + KeyFile.create(folder.resolve(name + ".key")).publicKeyText());
        }
        write(lines.keySet());
    }

    final void write(Iterable<String> names) throws IOException {
        List<String> all = new ArrayList<>();
        names.forEach(n -> all.add(lines.get(n)));
        Files.write(folder.resolve("roster"), all);
    }

    final String section(String name) {
        String seed = at.values().iterator().next().getHostAddress() + ":" + port;
        return "[gossip]\nlisten = " + at.get(name).getHostAddress() + ":" + port + "\nname = " + name + "\nkey_file = "
                + folder.resolve(name + ".key") + "\nroster = " + folder.resolve("roster") + "\nseeds = " + seed + "\n";
    }

    final void start(String name) throws Exception {
        Scenario s = new Scenario(folder.resolve(name));
        programs.put(name, s);
        s.launcher().withoutEvents();
        s.launcher().setSettingsLines(section(name));
        s.start();
    }

    final void run(String name, String script) throws Exception {
        programs.get(name).run(script);
    }

    final void all(List<String> names, String script) throws Exception {
        for (String n : names) {
            run(n, script);
        }
    }
}
