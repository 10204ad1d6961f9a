package elderseam.fleet;

import elderseam.fleet.lease.LeaseGroup;
import elderseam.fleet.lease.LeaseGroupConfiguration;
import elderseam.fleet.lease.LeaseRenewer;
import elderseam.fleet.lease.LeaseStateMachine;
import elderseam.fleet.lease.LeaseTable;
import elderseam.fleet.lease.LeaseValidity;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.SplittableRandom;
import org.apache.curator.framework.CuratorFramework;
import org.apache.curator.framework.CuratorFrameworkFactory;
import org.apache.curator.framework.recipes.locks.InterProcessMutex;
import org.apache.curator.retry.RetryForever;
import org.apache.zookeeper.server.quorum.QuorumPeerConfig;
import org.apache.zookeeper.server.quorum.QuorumPeerMain;

/**
 * One member of three that wants one lease, on either engine: {@code ratis|zookeeper NUMBER PORT FOLDER}. Says {@code held}
 * when it gets it, and keeps it until it is killed. Terms are alike: 1.2 s for the lease or the session.
 */
final class EngineMember {
    private static final int TERM_MS = 1_200, MEMBERS = 3;

    private EngineMember() {}

    public static void main(String[] args) throws Exception {
        int number = Integer.parseInt(args[1]), port = Integer.parseInt(args[2]);
        Path folder = Files.createDirectories(Path.of(args[3]));
        if (args[0].equals("ratis")) {
            ratis(number, port, folder);
        } else {
            zooKeeper(number, port, folder);
        }
        Thread.currentThread().join();
    }

    private static void say(String word) {
        System.out.println(word);
        System.out.flush();
    }

    private static void ratis(int number, int port, Path folder) throws Exception {
        Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
        for (int i = 1; i <= MEMBERS; i++) {
            peers.put("m" + i, new InetSocketAddress("127.0.0.1", port + i));
        }
        LeaseGroup group = LeaseGroup.start(new LeaseGroupConfiguration(
                "bench",
                "m" + number,
                peers.get("m" + number),
                peers,
                folder,
                150,
                Long.toString(System.nanoTime()),
                System::nanoTime,
                new LeaseStateMachine.Listener() {
                    @Override
                    public void leaderChanged(String leader) {
                        say("led by " + leader);
                    }
                },
                LeaseGroupConfiguration.DEFAULT_COMMANDS_PER_SNAPSHOT));
        new LeaseRenewer(
                group,
                List.of("task"),
                TERM_MS,
                new ClockDriftBound(0.05),
                new SplittableRandom(number),
                System::nanoTime,
                new SayHeld());
    }

    /** Says {@code held} when the lease is granted with a token of its own, not when it is renewed. */
    private static final class SayHeld implements LeaseRenewer.Listener {
        private long lastToken = -1;

        @Override
        public void requested(String lease, LeaseTable.Operation operation, long token) {
            // Only a grant is reported.
        }

        @Override
        public void granted(String lease, LeaseValidity validity) {
            if (validity.token() != lastToken) {
                lastToken = validity.token();
                say("held");
            }
        }

        @Override
        public void refused(String lease, LeaseTable.Outcome outcome) {
            // Only a grant is reported.
        }

        @Override
        public void unanswered(String lease) {
            // Only a grant is reported.
        }

        @Override
        public void released(String lease) {
            // It is kept until the process is killed.
        }
    }

    private static void zooKeeper(int number, int port, Path folder) throws Exception {
        Files.writeString(folder.resolve("myid"), Integer.toString(number));
        Properties p = new Properties();
        p.putAll(Map.of(
                "tickTime",
                "400",
                "initLimit",
                "20",
                "syncLimit",
                "5",
                "dataDir",
                folder.toString(),
                "clientPort",
                Integer.toString(port + number),
                "clientPortAddress",
                "127.0.0.1",
                "admin.enableServer",
                "false"));
        StringBuilder all = new StringBuilder();
        for (int i = 1; i <= MEMBERS; i++) {
            p.put("server." + i, "127.0.0.1:" + (port + 10 + i) + ":" + (port + 20 + i));
            all.append(i == 1 ? "" : ",").append("127.0.0.1:").append(port + i);
        }
        QuorumPeerConfig config = new QuorumPeerConfig();
        config.parseProperties(p);
        Thread server = new Thread(
                () -> {
                    try {
                        new QuorumPeerMain().runFromConfig(config);
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                "server");
        server.setDaemon(true);
        server.start();
        CuratorFramework client =
                CuratorFrameworkFactory.newClient(all.toString(), TERM_MS, 1_000, new RetryForever(50));
        client.start();
        new InterProcessMutex(client, "/task").acquire();
        say("held");
    }
}
