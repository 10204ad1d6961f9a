package elderseam.fleet.lease;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto.AppendResult;
import org.apache.ratis.proto.RaftProtos.AppendEntriesRequestProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotReplyProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotRequestProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteReplyProto;
import org.apache.ratis.proto.RaftProtos.RequestVoteRequestProto;
import org.apache.ratis.proto.RaftProtos.StartLeaderElectionReplyProto;
import org.apache.ratis.proto.RaftProtos.StartLeaderElectionRequestProto;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.server.RaftServerRpc;
import org.apache.ratis.server.protocol.RaftServerAsynchronousProtocol;

/**
 * Remote calls between Ratis servers, with workarounds for two faults of Ratis 3.1.3 in append requests.
 *
 * <p><b>The commit index of a follower.</b> A follower may commit up to the last entry that is known to match the
 * leader's log: the last entry of the request or, if it has no entries, its previous entry. If the request names no
 * previous entry, Ratis counts from index 0 instead of -1, so the follower commits one entry too many. If that is an
 * uncommitted entry of an earlier term, the follower applies it and then refuses the leader's entries, since they would
 * replace a committed one. The leader's commit index is therefore limited to the last entry that the request matches.
 *
 * <p><b>The next index in the reply to a heartbeat.</b> A follower replies to a heartbeat with the next index of its
 * whole log ({@code RaftServerImpl.appendEntriesAsync}), and the log appender used with Netty treats all entries before
 * that index as matched ({@code LogAppenderDefault.handleReply}). A member that was the leader in an earlier term may
 * have uncommitted entries after its last matched one. The new leader then treats them as matched too, and alternates
 * between two next indices that the member refuses, for as long as it leads. A heartbeat only proves that its previous
 * entry matches, so the next index in the reply is limited to the one after that entry. A heartbeat without a previous
 * entry proves nothing, so its reply is converted to a refusal.
 *
 * <p>{@link FollowerRefusals} counts each reply. Thread-safe: each log appender calls from its own thread.
 *
 * @param netty the engine's implementation, to which all calls are delegated
 * @param refusals counts the requests that followers refuse
 */
record LeaseServerRpc(RaftServerRpc netty, FollowerRefusals refusals) implements RaftServerRpc {
    private static final long BEFORE_FIRST_INDEX = -1;

    @Override
    public AppendEntriesReplyProto appendEntries(AppendEntriesRequestProto request) throws IOException {
        AppendEntriesRequestProto limitedRequest = limitLeaderCommit(request);
        AppendEntriesReplyProto reply = netty.appendEntries(limitedRequest);
        refusals.onReply(limitedRequest, reply);
        return limitNextIndex(limitedRequest, reply);
    }

    /** Returns the request with a commit index no higher than the last entry that the request matches. */
    static AppendEntriesRequestProto limitLeaderCommit(AppendEntriesRequestProto request) {
        long previousIndex = request.hasPreviousLog() ? request.getPreviousLog().getIndex() : BEFORE_FIRST_INDEX;
        long lastMatchedIndex = previousIndex + request.getEntriesCount();
        return request.getLeaderCommit() <= lastMatchedIndex
                ? request
                : request.toBuilder().setLeaderCommit(lastMatchedIndex).build();
    }

    /** Returns the reply; for a heartbeat, with a next index no higher than the one after its previous entry. */
    static AppendEntriesReplyProto limitNextIndex(AppendEntriesRequestProto request, AppendEntriesReplyProto reply) {
        if (request.getEntriesCount() > 0 || reply.getResult() != AppendResult.SUCCESS) {
            return reply;
        }
        if (!request.hasPreviousLog()) {
            return reply.toBuilder()
                    .setResult(AppendResult.INCONSISTENCY)
                    .setNextIndex(0)
                    .build();
        }
        long maxNextIndex = request.getPreviousLog().getIndex() + 1;
        return reply.getNextIndex() <= maxNextIndex
                ? reply
                : reply.toBuilder().setNextIndex(maxNextIndex).build();
    }

    @Override
    public RequestVoteReplyProto requestVote(RequestVoteRequestProto request) throws IOException {
        return netty.requestVote(request);
    }

    @Override
    public InstallSnapshotReplyProto installSnapshot(InstallSnapshotRequestProto request) throws IOException {
        return netty.installSnapshot(request);
    }

    @Override
    public StartLeaderElectionReplyProto startLeaderElection(StartLeaderElectionRequestProto request)
            throws IOException {
        return netty.startLeaderElection(request);
    }

    @Override
    public RaftServerAsynchronousProtocol async() {
        return netty.async();
    }

    @Override
    public RpcType getRpcType() {
        return netty.getRpcType();
    }

    @Override
    public void addRaftPeers(Collection<RaftPeer> peers) {
        netty.addRaftPeers(peers);
    }

    @Override
    public void handleException(RaftPeerId serverId, Exception e, boolean reconnect) {
        netty.handleException(serverId, e, reconnect);
    }

    @Override
    public void notifyNotLeader(RaftGroupId groupId) {
        netty.notifyNotLeader(groupId);
    }

    @Override
    public InetSocketAddress getInetSocketAddress() {
        return netty.getInetSocketAddress();
    }

    @Override
    public InetSocketAddress getClientServerAddress() {
        return netty.getClientServerAddress();
    }

    @Override
    public InetSocketAddress getAdminServerAddress() {
        return netty.getAdminServerAddress();
    }

    @Override
    public void start() throws IOException {
        netty.start();
    }

    @Override
    public void close() throws IOException {
        netty.close();
    }
}
