package elderseam.policy;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * The interface of the decision module: what a host tells it ({@link Events}) and what it asks of the host
 * ({@link Actions}). All times are nanoseconds of the host's clock, which may start anywhere and never runs
 * backwards. One thread calls; nothing here is shared between senders.
 */
public interface Sender {

    /** What a repeated attempt may do: nothing, be dropped by the destination for a while, or act twice. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** How an attempt or a probe ended. */
    enum Result {
        DELIVERED(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true);

        /** True if this result proves that the destination never acted on the attempt. */
        public final boolean neverRan;

        Result(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** What the list says of an endpoint; it says nothing of health. */
    enum Listing {
        READY,
        DRAINING,
        GONE
    }

    /** An update of the list: changes, the whole list, the last known whole list, or a failed call. */
    enum ListKind {
        CHANGES,
        WHOLE,
        CACHED,
        FAILED
    }

    /** A class of message. {@code worth} is for delivery within {@code aimNs} of first being handed in; at
     *  the deadline, {@code deadlineNs} after that, {@code lateWorth} of it is left. A KEYED repeat is dropped
     *  by the destination (or only by its endpoints in the same zone) for {@code keyWindowNs}. */
    record MessageClass(
            Effect effect,
            boolean keyPerZone,
            boolean ordered,
            long aimNs,
            long deadlineNs,
            double worth,
            double lateWorth,
            long keyWindowNs) {}

    /** A kind of destination: endpoints may be routes apart; a call may carry several messages. */
    record Kind(boolean routesApart, int batch) {}

    /** What the listed weights hold: nothing, calls a second that may be half off, or exact ones. */
    enum Rates {
        UNTOLD,
        ROUGH,
        EXACT
    }

    /** Connections: an idle one closes after {@code idleNs} (0: never kept); one carries {@code calls} at once;
     *  one not up after {@code timeoutNs} has failed. */
    record Connections(long idleNs, int calls, long timeoutNs) {}

    /** Prices in points of the result for each message handed in: for a new connection, for an attempt to
     *  another zone, and for each zone the fee of an attempt that a route apart there takes on (absent: 0). */
    record Prices(double connection, double crossZone, List<Double> zoneFees) {
        public Prices {
            zoneFees = List.copyOf(zoneFees);
        }
    }

    /** All that a sender is told at start. {@code tenantRates}: messages a second within each tenant's share,
     *  over all senders. {@code askForList}: updates come only while subscribed. Negative: no such limit. */
    record Settings(
            List<MessageClass> classes,
            List<Kind> kinds,
            List<Double> tenantRates,
            int slots,
            int mostHeld,
            int maxAttempts,
            int senders,
            int zone,
            boolean worthHalves,
            double overShareWorth,
            boolean mayCancel,
            boolean secondCopies,
            boolean askForList,
            Rates rates,
            long maxRetryAfterNs,
            long drainGraceNs,
            double coldShare,
            long coldNs,
            double fallMultiple,
            long fallNs,
            long keyRestNs,
            Connections connections,
            Prices prices) {
        /** Rejects settings that make no sense, naming the setting. */
        public Settings {
            classes = List.copyOf(classes);
            kinds = List.copyOf(kinds);
            tenantRates = List.copyOf(tenantRates);
            require(!classes.isEmpty(), "classes", "is empty");
            require(!kinds.isEmpty(), "kinds", "is empty");
            require(slots > 0, "slots", "must be above 0");
            require(mostHeld > 0, "mostHeld", "must be above 0");
            require(maxAttempts > 0, "maxAttempts", "must be above 0");
            require(senders > 0, "senders", "must be above 0");
            require(coldShare > 0 && coldShare <= 1, "coldShare", "must be above 0 and at most 1");
            require(coldNs >= 0, "coldNs", "must not be negative");
            require(fallMultiple > 0, "fallMultiple", "must be above 0");
            require(fallNs >= 0, "fallNs", "must not be negative");
            require(keyRestNs >= 0, "keyRestNs", "must not be negative");
            require(connections.idleNs() >= 0, "connections.idleNs", "must not be negative");
            require(connections.calls() > 0, "connections.calls", "must be above 0");
            require(connections.timeoutNs() >= 0, "connections.timeoutNs", "must not be negative");
            require(prices.connection() >= 0, "prices.connection", "must not be negative");
            require(prices.crossZone() >= 0, "prices.crossZone", "must not be negative");
            require(prices.zoneFees().stream().allMatch(f -> f >= 0), "prices.zoneFees", "must not be negative");
            for (MessageClass c : classes) {
                require(c.deadlineNs() > 0, "deadlineNs", "must be above 0 in every class");
                require(
                        c.aimNs() > 0 && c.aimNs() <= c.deadlineNs(),
                        "aimNs",
                        "must be above 0 and at most the deadline in every class");
                require(c.worth() >= 0, "worth", "must not be negative");
            }
            for (Kind k : kinds) {
                require(k.batch() > 0, "batch", "must be above 0 in every kind");
            }
        }

        private static void require(boolean ok, String setting, String fault) {
            if (!ok) {
                throw new IllegalArgumentException("setting " + setting + " " + fault);
            }
        }
    }

    /** One endpoint as listed. {@code weight}: calls a second that its destination (or route) takes from all
     *  senders together; how exact, {@link Settings#rates} tells. */
    record Endpoint(String address, long destination, int kind, int zone, Listing listing, double weight) {}

    /** A message taken on. {@code orderKey} is -1 where none; {@code deadline} is a time of the clock.
     *  {@code again}: it was handed in before, here or to another sender, so some of its time is gone.
     *  {@code heedsWindow}: after a refusal its client brings a keyed one again only within its window. */
    record Message(
            String id,
            int cls,
            int tenant,
            long orderKey,
            long deadline,
            long destination,
            boolean again,
            boolean heedsWindow) {
        public Message(String id, int cls, int tenant, long orderKey, long deadline, long destination, boolean again) {
            this(id, cls, tenant, orderKey, deadline, destination, again, true);
        }
    }

    /** What an endpoint told of its limit; {@code limitPerS} is 0 where none was told. */
    record Report(double shareLeft, double limitPerS) {
        public static final Report NONE = new Report(0, 0);
    }

    /** What a breaker does: it lends, it tries, it sleeps. */
    enum Standing {
        CLOSED,
        HALF_OPEN,
        OPEN
    }

    /**
     * A destination as its breaker has it: {@code calls} of the last 10 s, {@code failed} of them, what is left of a
     * told wait.
     */
    record Breaker(Standing standing, int calls, int failed, long waitNs) {}

    /** Endpoints on the list, and those of them that get nothing now: draining, by hand or by choice. */
    record Listed(int hosts, int down) {}

    /** How one attempt ended. {@code waitNs}: the told wait, 0 if none. {@code noSlot}: with NOT_SENT, no
     *  slot was free. {@code over}: the message is finished, by this outcome or earlier; else an answer
     *  is owed. */
    record Outcome(
            String id,
            int attempt,
            String endpoint,
            Result result,
            long latencyNs,
            long waitNs,
            boolean noSlot,
            boolean over,
            Report report) {}

    /**
     * Carries what a sender has learned to the one that takes its place. Each value passes through, in one order: one
     * that writes gives back what it is given, one that reads gives back what was written, times moved to its own
     * clock.
     */
    interface Ledger {
        long whole(long value);

        double real(double value);

        /** Of the clock; what is far from any time of it (none, never) passes as it is. */
        long time(long value);

        /**
         * The end of a told wait, of the clock; for a process that begins anew it is past, as a restart ends each
         * wait.
         */
        default long ends(long wait) {
            return wait;
        }

        String text(String value);

        default boolean flag(boolean value) {
            return whole(value ? 1 : 0) == 1;
        }
    }

    /** What happens to a sender. Events at one time make a turn, closed by {@link #turnEnd}: only there are
     *  messages sent. A time before the last one, or a second message with a held id, is answered with
     *  IllegalArgumentException; an id no longer held, and a late timer, are passed over. */
    interface Events {
        /** The list changed, was told whole, or could not be had; entries are copied, not kept. */
        void endpoints(long now, ListKind kind, List<Endpoint> entries);

        /** A message is taken on: it gets one final answer, by an outcome, a refusal or a failure. */
        void message(long now, Message message);

        /** A message that an earlier process of this sender had taken on, with its attempts so far, whether one
         *  of them may have run, and until when a keyed one may then be sent again. */
        void restored(long now, Message message, int attempts, boolean maybeRan, long keyUntil);

        /**
         * The attempt that a restored message has had last is still out, at another process of this sender; its
         * outcome will come.
         */
        void adopted(long now, String id, String endpoint, long start);

        /**
         * Tells, or takes over, what was learned of the endpoints, their breakers and paces, and of the tenants; on a
         * fresh sender before anything else.
         */
        void carry(long now, Ledger ledger);

        /**
         * Whether there is, or was of late, an endpoint for that destination; a message for another is best not
         * taken.
         */
        boolean serves(long now, long destination);

        /** The process ends at that time: no attempt starts that would hardly be answered before it. */
        void closing(long now, long end);

        /** An attempt ended. Each send is owed exactly one; a repeated one is passed over. */
        void outcome(long now, Outcome outcome);

        /** An answer came for an attempt that had ended without one: what it told of a wait and of a limit. */
        void heard(long now, String endpoint, long waitNs, Report report);

        /** The host did not look at the network for so long: no call was silent in that time. */
        void unseen(long now, long ns);

        /**
         * Whether a call of that message there, decided earlier, may begin now: it is listed as ready, no told wait
         * lasts, and where an attempt may have run the message may still go there.
         */
        boolean mayCall(long now, String id, String endpoint);

        /** How every destination that is listed stands now. */
        void breakers(long now, BiConsumer<Long, Breaker> each);

        /** The list as the sender uses it now. */
        Listed listed(long now);

        /**
         * What others say of a destination, until told otherwise. {@code doubt}, 0 to 1: how much less own evidence
         * trips its breaker; alone it trips nothing. {@code trying}: how many senders will try it about when it
         * returns; a sleeping window lengthens with them as it does with the number of senders, and is never shorter
         * for it.
         */
        void advised(long now, long destination, double doubt, double trying);

        /**
         * What its part is of all that is sent, until told otherwise. {@code senders}: by how many the limits of
         * destinations and the shares of tenants are divided, in the place of the settings' number. {@code
         * preferred}: the endpoints of its subset; others are called where the preferred ones can't be or have much
         * more out, so no message waits for them. {@code retries}: tries after a failure for each first one at a
         * destination, 1 and more for no bound; of the fleet, so every sender's alike.
         */
        void part(long now, int senders, Predicate<String> preferred, double retries);

        /** The client has withdrawn the message: no answer is owed any more. */
        void withdrawn(long now, String id);

        /** A timer asked for has come due. */
        void timer(long now, long token);

        /** All events of this time have been told: the sender decides now. */
        void turnEnd(long now);
    }

    /** What a sender does. The host carries actions out in order, at the time of the event. */
    interface Actions {
        /** Next attempt for a message; sends of one turn to one endpoint share calls as the batch allows. */
        void send(String id, String endpoint, long stopAt);

        /** Stops waiting for an attempt, counted from 0; it ends as CANCELLED or as it was about to. */
        void cancel(String id, int attempt);

        /** Final answer: repeating it is harmless; come back after this time. */
        void refuse(String id, long retryAfterNs);

        /** Final answer: failed, and it may have taken effect. */
        void fail(String id);

        /** Calls {@link Events#timer} with the token once, at or after this many nanoseconds from now. */
        void timer(long token, long afterNs);

        /** Closes the idle connections that this sender holds to an endpoint. */
        void disconnect(String endpoint);

        /** Asks for changes of the list from now on. */
        void subscribe();

        /** A change of state worth a line: which destination, why, and the figures behind it. */
        void log(String words);
    }
}
