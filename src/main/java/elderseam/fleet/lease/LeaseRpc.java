package elderseam.fleet.lease;

import java.io.IOException;
import java.util.Collection;
import org.apache.ratis.client.ClientFactory;
import org.apache.ratis.client.RaftClientRpc;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.netty.NettyFactory;
import org.apache.ratis.proto.RaftProtos.CommitInfoProto;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftGroupMemberId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.rpc.RpcFactory;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.server.DataStreamMap;
import org.apache.ratis.server.DivisionInfo;
import org.apache.ratis.server.DivisionProperties;
import org.apache.ratis.server.RaftConfiguration;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerRpc;
import org.apache.ratis.server.RetryCache;
import org.apache.ratis.server.ServerFactory;
import org.apache.ratis.server.leader.FollowerInfo;
import org.apache.ratis.server.leader.LeaderState;
import org.apache.ratis.server.leader.LogAppender;
import org.apache.ratis.server.metrics.RaftServerMetrics;
import org.apache.ratis.server.raftlog.RaftLog;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachine;

/**
 * The RPC layer of Apache Ratis over Netty, with a workaround for a deadlock in Ratis 3.1.3. A leader that receives a
 * vote request and finds that it has lost its majority steps down while it holds the server's monitor, and waits there
 * without a timeout for its log appenders to terminate ({@code RaftServerImpl.requestVote},
 * {@code LeaderStateImpl.stepDown}). An appender that has just received a reply with a higher term from a follower
 * tries to enter the same monitor ({@link LogAppender#onFollowerTerm}). Neither can proceed, and the member does not
 * reply to any other member until it is restarted. Here each appender uses a separate monitor instead. The server's
 * monitor is not needed: inside it the appender only reads the term and queues an event, which the leader's own thread
 * handles under the server's monitor.
 *
 * <p>{@link LeaseServerRpc} corrects append requests between servers and the replies to them.
 *
 * <p>Ratis creates an instance from the class name in its properties, so the class and its constructor are public.
 */
public final class LeaseRpc implements RpcType {
    @Override
    public String name() {
        return LeaseRpc.class.getName();
    }

    @Override
    public RpcFactory newFactory(Parameters parameters) {
        return new Factory(new NettyFactory(parameters));
    }

    private record Factory(NettyFactory netty) implements ServerFactory, ClientFactory {
        @Override
        public RpcType getRpcType() {
            return netty.getRpcType();
        }

        @Override
        public RaftServerRpc newRaftServerRpc(RaftServer server) {
            return new LeaseServerRpc(
                    netty.newRaftServerRpc(server), new FollowerRefusals(refusal -> report(server, refusal)));
        }

        private static void report(RaftServer server, FollowerRefusals.Refusal refusal) {
            try {
                for (RaftGroupId group : server.getGroupIds()) {
                    ((LeaseStateMachine) server.getDivision(group).getStateMachine()).followerRefused(refusal);
                }
            } catch (IOException e) {
                // The server has left its group, so it is no longer a leader.
            }
        }

        @Override
        public RaftClientRpc newRaftClientRpc(ClientId id, RaftProperties properties) {
            return netty.newRaftClientRpc(id, properties);
        }

        @Override
        public LogAppender newLogAppender(RaftServer.Division server, LeaderState state, FollowerInfo follower) {
            return LogAppender.newLogAppenderDefault(new DivisionWithSeparateMonitor(server), state, follower);
        }
    }

    /** Delegates to a division. As a separate object, it has its own monitor. */
    private record DivisionWithSeparateMonitor(RaftServer.Division division) implements RaftServer.Division {
        @Override
        public DivisionProperties properties() {
            return division.properties();
        }

        @Override
        public RaftGroupMemberId getMemberId() {
            return division.getMemberId();
        }

        @Override
        public RaftPeerId getId() {
            return division.getId();
        }

        @Override
        public RaftPeer getPeer() {
            return division.getPeer();
        }

        @Override
        public DivisionInfo getInfo() {
            return division.getInfo();
        }

        @Override
        public RaftGroup getGroup() {
            return division.getGroup();
        }

        @Override
        public RaftConfiguration getRaftConf() {
            return division.getRaftConf();
        }

        @Override
        public RaftServer getRaftServer() {
            return division.getRaftServer();
        }

        @Override
        public RaftServerMetrics getRaftServerMetrics() {
            return division.getRaftServerMetrics();
        }

        @Override
        public StateMachine getStateMachine() {
            return division.getStateMachine();
        }

        @Override
        public RaftLog getRaftLog() {
            return division.getRaftLog();
        }

        @Override
        public RaftStorage getRaftStorage() {
            return division.getRaftStorage();
        }

        @Override
        public Collection<CommitInfoProto> getCommitInfos() {
            return division.getCommitInfos();
        }

        @Override
        public RetryCache getRetryCache() {
            return division.getRetryCache();
        }

        @Override
        public DataStreamMap getDataStreamMap() {
            return division.getDataStreamMap();
        }

        @Override
        public ThreadGroup getThreadGroup() {
            return division.getThreadGroup();
        }

        @Override
        public void close() {
            division.close();
        }
    }
}
