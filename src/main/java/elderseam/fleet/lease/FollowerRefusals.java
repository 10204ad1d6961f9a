package elderseam.fleet.lease;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto.AppendResult;
import org.apache.ratis.proto.RaftProtos.AppendEntriesRequestProto;

/**
 * Counts, on the leader, the consecutive append requests that each follower has refused, and reports a follower that
 * replies but keeps refusing entries: without this report it could not be distinguished from an unreachable one.
 * Thread-safe.
 */
public final class FollowerRefusals {
    /**
     * A follower that keeps refusing append requests, with the last request and its reply.
     *
     * @param follower the member's name
     * @param refusals the number of requests refused since it last accepted one
     * @param previous term and index of the entry before the request's entries, or {@code none}
     * @param entries the number of entries in the request
     * @param leaderCommit the leader's commit index in the request
     * @param nextIndex the index of the entry that the follower asks the leader to send next
     */
    public record Refusal(
            String follower, int refusals, String previous, int entries, long leaderCommit, long nextIndex) {}

    /**
     * The number of consecutive refusals at which a follower is first reported. A follower that rejoins refuses a few
     * requests until the leader has found its last matching entry.
     */
    static final int FIRST_REPORTED_COUNT = 100;

    private final Map<String, Integer> consecutiveRefusals = new ConcurrentHashMap<>();
    private final Consumer<Refusal> listener;

    /**
     * @param listener called on a thread of the engine at the first reported count and each time that count has doubled
     */
    FollowerRefusals(Consumer<Refusal> listener) {
        this.listener = listener;
    }

    /** Counts a follower's reply to an append request. */
    void onReply(AppendEntriesRequestProto request, AppendEntriesReplyProto reply) {
        String follower = request.getServerRequest().getReplyId().toStringUtf8();
        if (reply.getResult() != AppendResult.INCONSISTENCY) {
            consecutiveRefusals.remove(follower);
            return;
        }
        int refusals = consecutiveRefusals.merge(follower, 1, Integer::sum);
        if (isReported(refusals)) {
            listener.accept(new Refusal(
                    follower,
                    refusals,
                    formatPreviousEntry(request),
                    request.getEntriesCount(),
                    request.getLeaderCommit(),
                    reply.getNextIndex()));
        }
    }

    private static boolean isReported(int refusals) {
        return refusals % FIRST_REPORTED_COUNT == 0 && Integer.bitCount(refusals / FIRST_REPORTED_COUNT) == 1;
    }

    private static String formatPreviousEntry(AppendEntriesRequestProto request) {
        if (!request.hasPreviousLog()) {
            return "none";
        }
        return request.getPreviousLog().getTerm() + ":"
                + request.getPreviousLog().getIndex();
    }
}
