package elderseam.fleet.lease;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.util.TimeDuration;

/**
 * Sends requests to the leader that is known to this member's own Raft server. The engine's client alone keeps using
 * the last leader that it knew: when that leader had been partitioned without closing its connections, all six attempts
 * of a request were sent to it, and so were those of the next request.
 *
 * <p>Confined to one thread, except {@link #close}, which is called after that thread was stopped. Requests are
 * blocking because the engine's ordered asynchronous client waited for a closed member for more than 20 s.
 */
final class LeaderClient implements Closeable {
    /** One request to the group. */
    @FunctionalInterface
    interface Request {
        /** Sends the request and waits for the reply. Throws an IOException if no reply arrives in time. */
        RaftClientReply send(RaftClient client) throws IOException;
    }

    /** How often a request is redirected when the member that received it is not the leader but names the leader. */
    private static final int MAX_REDIRECTS = 2;

    private static final TimeDuration REDIRECT_DELAY = TimeDuration.valueOf(50, TimeUnit.MILLISECONDS);

    private final RaftServer server;
    private final RaftGroup initialGroup;
    private final RaftProperties properties;
    private RaftClient client; // null before the first request and after a failed request
    private RaftPeerId assumedLeader; // null if the server knew no leader

    LeaderClient(RaftServer server, RaftGroup initialGroup, RaftProperties properties) {
        this.server = server;
        this.initialGroup = initialGroup;
        this.properties = properties;
    }

    /**
     * Sends a request; each attempt is sent to the leader that this member's server knows at that time. Throws the
     * IOException of the last attempt if no attempt got a reply, for example because the group has no majority.
     */
    RaftClientReply send(int maxAttempts, Request request) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                return request.send(clientToLeader());
            } catch (IOException e) {
                discardClient();
                if (attempt == maxAttempts) {
                    throw e;
                }
            }
        }
    }

    private RaftClient clientToLeader() throws IOException {
        RaftServer.Division division = server.getDivision(initialGroup.getGroupId());
        RaftPeerId leader = division.getInfo().getLeaderId();
        if (leader != null && !leader.equals(assumedLeader)) {
            discardClient();
        }
        if (client == null) {
            client = newClient(division.getGroup(), leader);
        }
        return client;
    }

    private RaftClient newClient(RaftGroup currentGroup, RaftPeerId leader) {
        RaftGroup group = currentGroup.getPeers().isEmpty() ? initialGroup : currentGroup;
        RaftClient.Builder builder = RaftClient.newBuilder()
                .setProperties(properties)
                .setRaftGroup(group)
                .setClientId(ClientId.randomId())
                .setParameters(new Parameters())
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(MAX_REDIRECTS, REDIRECT_DELAY));
        boolean isMember = leader != null && group.getPeer(leader) != null;
        assumedLeader = isMember ? leader : null;
        if (isMember) {
            builder.setLeaderId(leader);
        }
        return builder.build();
    }

    private void discardClient() {
        if (client == null) {
            return;
        }
        try {
            client.close();
        } catch (IOException e) {
            // Ignored: the client is not used again.
        }
        client = null;
    }

    @Override
    public void close() throws IOException {
        if (client != null) {
            client.close();
        }
    }
}
