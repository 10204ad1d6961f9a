package elderseam.fleet.lease;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.netty.NettyConfigKeys;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.util.TimeDuration;

/**
 * One member of a fleet's lease group: a Ratis server over TCP (Netty) with its log in the member's folder, and a client
 * that asks the group. Members are named and addressed in {@code peers} (name to host:port, the same map on every member);
 * the group's id comes from the fleet's name, so members agree on it without a word.
 *
 * <p>Errors: {@link IOException} where the folder or port can't be used. A request that the group could not decide (no
 * majority, no leader in time) completes exceptionally; the caller acts as if refused, and its tenure does not begin.
 */
public final class LeaseGroup implements Closeable {
    /** The engine tells every setting it reads at INFO; held here so that the level stays (loggers are weakly kept). */
    private static final java.util.logging.Logger ENGINE = java.util.logging.Logger.getLogger("org.apache.ratis");

    static {
        ENGINE.setLevel(java.util.logging.Level.WARNING);
    }

    private final RaftServer server;
    private final RaftClient client;
    private final String self;
    private final java.util.concurrent.ExecutorService asker;

    private LeaseGroup(RaftServer server, RaftClient client, String self) {
        this.server = server;
        this.client = client;
        this.self = self;
        this.asker = java.util.concurrent.Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(r, "lease-asker-" + self);
            t.setDaemon(true);
            return t;
        });
    }

    /**
     * Starts the member {@code self} of {@code peers} in {@code folder} (made if missing; a folder that holds a log is taken
     * back). {@code electionMs}: the least time a follower waits for its leader before it stands; the most is twice that.
     */
    public static LeaseGroup start(String fleet, String self, Map<String, InetSocketAddress> peers, Path folder,
                                   long electionMs, LongSupplier wallMs) throws IOException {
        InetSocketAddress own = peers.get(self);
        if (own == null) {
            throw new IllegalArgumentException("lease group: " + self + " is not among the peers " + peers.keySet());
        }
        RaftGroup group = group(fleet, peers);
        RaftProperties properties = properties(electionMs);
        NettyConfigKeys.Server.setPort(properties, own.getPort());
        NettyConfigKeys.Server.setHost(properties, own.getHostString());
        RaftServerConfigKeys.setStorageDir(properties, List.of(folder.toFile()));
        boolean kept = Files.isDirectory(folder) && Files.list(folder).findAny().isPresent();
        RaftServer server = RaftServer.newBuilder().setServerId(RaftPeerId.valueOf(self)).setGroup(group)
                .setStateMachine(new LeaseMachine(wallMs)).setProperties(properties)
                .setOption(kept ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT).build();
        server.start();
        return new LeaseGroup(server, client(group, properties), self);
    }

    static RaftGroup group(String fleet, Map<String, InetSocketAddress> peers) {
        RaftGroupId id = RaftGroupId.valueOf(UUID.nameUUIDFromBytes(("elderseam-leases:" + fleet).getBytes(StandardCharsets.UTF_8)));
        return RaftGroup.valueOf(id, peers.entrySet().stream().sorted(Map.Entry.comparingByKey())
                .map(e -> RaftPeer.newBuilder().setId(e.getKey()).setAddress(e.getValue().getHostString() + ":" + e.getValue().getPort()).build())
                .toList());
    }

    private static RaftProperties properties(long electionMs) {
        RaftProperties properties = new RaftProperties();
        RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.NETTY);
        RaftServerConfigKeys.Rpc.setTimeoutMin(properties, TimeDuration.valueOf(electionMs, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setTimeoutMax(properties, TimeDuration.valueOf(2 * electionMs, TimeUnit.MILLISECONDS));
        // A request to a member that is gone waits this long before the client turns to the next one.
        RaftClientConfigKeys.Rpc.setRequestTimeout(properties, TimeDuration.valueOf(4 * electionMs, TimeUnit.MILLISECONDS));
        // Snapshots are not taken: the table is small and its log short-lived in tests; a long-lived fleet needs them (ROADMAP).
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, false);
        return properties;
    }

    private static RaftClient client(RaftGroup group, RaftProperties properties) {
        return RaftClient.newBuilder().setProperties(properties).setRaftGroup(group).setClientId(ClientId.randomId())
                .setParameters(new Parameters())
                // A request that meets a member who does not lead goes on to the one it names; the count bounds a group
                // with no majority, which then answers with a failure and the caller treats it as refused.
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(40, TimeDuration.valueOf(100, TimeUnit.MILLISECONDS)))
                .build();
    }

    /** This member's name. */
    public String self() {
        return self;
    }

    /** Asks for {@code name} for {@code ttlMs}; the outcome says whether it was granted, and with which token. */
    public CompletableFuture<LeaseTable.Outcome> acquire(String name, long ttlMs) {
        return ask(new LeaseTable.Command(LeaseTable.Op.ACQUIRE, name, self, 0, ttlMs, 0));
    }

    public CompletableFuture<LeaseTable.Outcome> renew(String name, long token, long ttlMs) {
        return ask(new LeaseTable.Command(LeaseTable.Op.RENEW, name, self, token, ttlMs, 0));
    }

    public CompletableFuture<LeaseTable.Outcome> release(String name, long token) {
        return ask(new LeaseTable.Command(LeaseTable.Op.RELEASE, name, self, token, 0, 0));
    }

    private CompletableFuture<LeaseTable.Outcome> ask(LeaseTable.Command command) {
        Message message = Message.valueOf(LeaseCodec.encode(command));
        // The blocking client turns to the next member when one is gone; the ordered async one was seen to wait on a
        // closed member for over 20 s. Its one thread keeps the calls in order and off every caller's thread.
        return CompletableFuture.supplyAsync(() -> {
            try {
                return outcome(client.io().send(message));
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }, asker);
    }

    private static LeaseTable.Outcome outcome(RaftClientReply reply) {
        if (!reply.isSuccess()) {
            throw new IllegalStateException("lease group: " + reply.getException());
        }
        try {
            return LeaseCodec.outcome(reply.getMessage().getContent());
        } catch (IOException e) {
            throw new IllegalStateException("lease group: an answer that can't be read", e);
        }
    }

    @Override
    public void close() throws IOException {
        asker.shutdownNow();
        client.close();
        server.close();
    }
}
