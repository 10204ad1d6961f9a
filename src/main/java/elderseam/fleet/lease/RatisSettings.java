package elderseam.fleet.lease;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.netty.NettyConfigKeys;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/**
 * Settings of the consensus engine, Apache Ratis over Netty TCP ({@link LeaseRpc}), for small tables and short
 * commands.
 */
final class RatisSettings {
    private static final String SHADED_NETTY_PROPERTY_PREFIX = "org.apache.ratis.thirdparty.io.netty.";

    /**
     * The engine's shaded Netty would allocate two arenas per core by default, too many for a few messages per second.
     * Its event loop needs more than one thread: the engine executes a client's request on the thread that read it and
     * waits there without a timeout. With a single thread, a request that never got a reply (which happened when a
     * stalled leader stepped down) made a member unreachable until it was killed. With 16 threads each connection has
     * its own thread; threads start on demand.
     */
    private static final Map<String, String> NETTY_DEFAULTS = Map.of(
            "eventLoopThreads", "16",
            "allocator.numDirectArenas", "1",
            "allocator.numHeapArenas", "1",
            "allocator.maxOrder", "3");

    private static final int RETAINED_SNAPSHOTS = 2;

    private RatisSettings() {}

    /** Sets process-wide system properties; call before the first class of the engine is loaded. Idempotent. */
    static void applyToProcess() {
        NETTY_DEFAULTS.forEach((name, value) -> {
            String property = SHADED_NETTY_PROPERTY_PREFIX + name;
            if (System.getProperty(property) == null) {
                System.setProperty(property, value);
            }
        });
    }

    /** Returns the engine's properties for one member. */
    static RaftProperties forMember(LeaseGroupConfiguration configuration) {
        RaftProperties properties = new RaftProperties();
        RaftConfigKeys.Rpc.setType(properties, new LeaseRpc());
        NettyConfigKeys.Server.setPort(properties, configuration.listenAddress().getPort());
        NettyConfigKeys.Server.setHost(properties, configuration.listenAddress().getHostString());
        RaftServerConfigKeys.setStorageDir(
                properties, List.of(configuration.directory().toFile()));
        setTimeouts(properties, configuration.minElectionTimeoutMs());
        setSnapshots(properties, configuration.commandsPerSnapshot());
        setLogSizes(properties);
        return properties;
    }

    private static void setTimeouts(RaftProperties properties, long minElectionTimeoutMs) {
        TimeDuration maxElectionTimeout = milliseconds(2 * minElectionTimeoutMs);
        RaftServerConfigKeys.Rpc.setTimeoutMin(properties, milliseconds(minElectionTimeoutMs));
        RaftServerConfigKeys.Rpc.setTimeoutMax(properties, maxElectionTimeout);
        // After a leader has lost its majority, it does not start an election for this time, so that another member can
        // become leader. With the default of 10 s, no member would start an election for that long if the others were
        // the partitioned ones.
        RaftServerConfigKeys.LeaderElection.setLeaderStepDownWaitTime(properties, maxElectionTimeout);
        // How long the client waits for an unreachable member before it tries the next one.
        RaftClientConfigKeys.Rpc.setRequestTimeout(properties, milliseconds(3 * minElectionTimeoutMs));
    }

    private static void setSnapshots(RaftProperties properties, long commandsPerSnapshot) {
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, commandsPerSnapshot);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, RETAINED_SNAPSHOTS);
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
        RaftServerConfigKeys.Log.setPurgeGap(properties, (int) commandsPerSnapshot);
    }

    private static void setLogSizes(RaftProperties properties) {
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf("256KB"));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf("16KB"));
        RaftServerConfigKeys.Log.setWriteBufferSize(properties, SizeInBytes.valueOf("128KB"));
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(properties, SizeInBytes.valueOf("64KB"));
    }

    private static TimeDuration milliseconds(long value) {
        return TimeDuration.valueOf(value, TimeUnit.MILLISECONDS);
    }
}
