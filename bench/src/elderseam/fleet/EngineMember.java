package elderseam.fleet;

import elderseam.fleet.lease.LeaseGroup;
import elderseam.fleet.lease.LeaseTable;
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
        LeaseGroup group = LeaseGroup.start(new LeaseGroup.Opening(
                "bench",
                "m" + number,
                peers.get("m" + number),
                peers,
                folder,
                150,
                Long.toString(System.nanoTime()),
                System::nanoTime,
                new LeaseMachine.Watch() {
                    @Override
                    public void led(String by) {
                        say("led by " + by);
                    }
                },
                LeaseGroup.SNAPSHOT_EVERY));
        new LeaseHolder(
                group,
                List.of("task"),
                TERM_MS,
                new Tenure.Bounds(0.05),
                new SplittableRandom(number),
                System::nanoTime,
                new LeaseHolder.Events() {
                    private long token = -1;

                    @Override
                    public void asked(String lease, LeaseKeeper.Ask ask, long of) {
                        // only the outcome counts
                    }

                    @Override
                    public void released(String lease) {
                        // it never is
                    }

                    @Override
                    public void answered(String lease, LeaseTable.Outcome outcome, Tenure tenure) {
                        if (tenure != null && tenure.token() != token) {
                            token = tenure.token();
                            say("held");
                        }
                    }
                });
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
