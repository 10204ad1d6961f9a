package elderseam.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Who is there, after SWIM (Das, Gupta, Motivala 2002): each period one member is probed in a shuffled round, first directly,
 * then through others; who does not answer is suspected, and dead when nobody clears it in time; rumours travel with the
 * probes, a bounded number of times; a member that hears itself suspected raises its incarnation and says so. With
 * Lifeguard (Dadgar, Phillips, Currey 2018): a member whose own probes fail or whose helpers are silent takes itself to be
 * the slow one, and probes more slowly; suspicions begin long and shorten with each independent confirmation; a suspect is
 * told so by whoever probes it. The roles of dead and left members, the treatment of a foreign dead one as suspect in a full
 * exchange, and the looks at seeds and lost members after a partition follow the practice of memberlist. {@link MembershipTable} holds
 * what is believed of whom; probes, helpers, rounds of rumours and exchanges are here.
 *
 * <p>Times are nanoseconds that never run backwards. {@link #tick} is to be called at {@link #nextAt}. Bounds: members by
 * whoever calls (a roster), helpers' questions 256.
 */
public final class Membership {
    private static final int MOST_RELAYS = 256, DRAWS = 4;

    /** The probe of this period. */
    private static final class Probe {
        Member target;
        long number, answerBy, end;
        boolean answered, asked;
        int helpers, nacks;
    }

    /** A question that is asked for another. */
    private record Relay(String asker, long theirs, long nackAt, long end, boolean[] nacked) {}

    private final String self, address;
    private final GossipTimings tempo;
    private final SplittableRandom random;
    private final List<String> seeds;
    private final MembershipTable roll;
    private final List<Member> round = new ArrayList<>();
    private final Map<Long, Relay> relays = new TreeMap<>();
    private List<Message.Sent> out = new ArrayList<>();
    private List<String> syncs = new ArrayList<>();
    private Probe probe;
    private long numbers, nextSync, nextNews;
    private int health; // how ill this member takes itself to be: 0 well, up to Tempo.mostHealth
    private boolean left;
    private BooleanSupplier more = () -> false;

    /**
     * {@code seeds}: addresses of members to join through; {@code incarnation}: above that of any earlier life, such as the
     * wall clock at the start; {@code changed}: told each change of another's standing.
     */
    public Membership(
            String self,
            String address,
            List<String> seeds,
            long incarnation,
            GossipTimings tempo,
            long now,
            SplittableRandom random,
            BiConsumer<String, MemberState> changed) {
        this.self = self;
        this.address = address;
        this.seeds = List.copyOf(seeds);
        this.tempo = tempo;
        this.random = random;
        this.nextSync = now;
        this.nextNews = now;
        this.roll = new MembershipTable(
                self,
                address,
                incarnation,
                tempo,
                changed,
                m -> round.add(random.nextInt(round.size() + 1), m),
                () -> feel(1));
        newProbe(now, (long) (random.nextDouble() * tempo.periodNs())); // members that start together probe apart
    }

    // ---------------------------------------------------------------- what it knows

    /** Members that are not dead and have not left, with this one. */
    public int present() {
        return roll.present();
    }

    /** What is held of a member; null of one that is not known. */
    public MemberState standing(String name) {
        Member m = roll.get(name);
        return name.equals(self) ? left ? MemberState.LEFT : MemberState.ALIVE : m == null ? null : m.standing;
    }

    // ---------------------------------------------------------------- time

    /** When it wants its next tick. */
    public long nextAt() {
        if (left) {
            return Long.MAX_VALUE;
        }
        long at = Math.min(
                nextSync,
                probe.asked || probe.answered || probe.target == null
                        ? probe.end
                        : Math.min(probe.answerBy, probe.end));
        if (hasNews() && !roll.all().isEmpty()) {
            at = Math.min(at, nextNews);
        }
        for (Member m : roll.notAlive()) {
            if (m.standing == MemberState.SUSPECT) {
                at = Math.min(at, roll.deadAt(m));
            }
        }
        for (Relay r : relays.values()) {
            at = Math.min(at, r.nacked[0] ? r.end : r.nackAt);
        }
        return at;
    }

    /** Does what is due. */
    public void tick(long now) {
        if (left) {
            return;
        }
        relays.entrySet().removeIf(e -> {
            Relay r = e.getValue();
            if (!r.nacked[0] && now >= r.nackAt) {
                r.nacked[0] = true;
                send(r.asker, new Message.Nack(r.theirs));
            }
            return now >= r.end;
        });
        roll.tick(now);
        if (now >= probe.end) {
            judge(now);
            newProbe(now, 0);
        } else if (probe.target != null && !probe.answered && !probe.asked && now >= probe.answerBy) {
            askOthers();
        }
        if (now >= nextSync) {
            sync(now);
        }
        if (now >= nextNews && hasNews()) {
            news(now);
        }
    }

    private boolean hasNews() {
        return roll.rumours().subjects() > 0 || more.getAsBoolean();
    }

    /** Whether there is more to tell than rumours: it is told as quickly as they are. */
    void tellsToo(BooleanSupplier also) {
        more = also;
    }

    /** Rumours for their own sake, at a pace that does not follow this member's health. */
    private void news(long now) {
        nextNews = now + tempo.newsNs();
        for (Member m : some(tempo.fan(), Member::there)) {
            out.add(new Message.Sent(m.name, new Message.News(), List.of()));
        }
    }

    /** So many at random of those that fit, or all there are. */
    private List<Member> some(int most, Predicate<Member> fits) {
        List<Member> all = roll.all(), some = new ArrayList<>();
        for (int tries = DRAWS * most;
                tries > 0 && some.size() < most && !all.isEmpty();
                tries--) { // nearly all fit, as a rule
            Member m = all.get(random.nextInt(all.size()));
            if (fits.test(m) && !some.contains(m)) {
                some.add(m);
            }
        }
        if (some.size() < most && some.size() < all.size()) {
            List<Member> rest = new ArrayList<>(
                    all.stream().filter(fits).filter(m -> !some.contains(m)).toList());
            while (some.size() < most && !rest.isEmpty()) {
                some.add(rest.remove(random.nextInt(rest.size())));
            }
        }
        return some;
    }

    /** The period is over: whether the one probed has answered, and what that says of this member. */
    private void judge(long now) {
        Member m = probe.target;
        if (m == null) {
            return;
        }
        if (probe.answered) {
            feel(-1);
            return;
        }
        feel(probe.helpers > 0 ? probe.helpers - probe.nacks : 1);
        if (m.there()) {
            roll.suspect(m, m.incarnation, self, now);
        }
    }

    private void feel(int worse) {
        health = tempo.localHealth() ? Math.max(0, Math.min(tempo.mostHealth(), health + worse)) : 0;
    }

    private void newProbe(long now, long later) {
        probe = new Probe();
        long slower = 1L + health;
        probe.end = now + tempo.periodNs() * slower + later;
        probe.answerBy = now + tempo.ackNs() * slower;
        if (later > 0 || roll.all().isEmpty()) {
            return;
        }
        for (boolean anew = false; probe.target == null; ) {
            if (round.isEmpty()) {
                if (anew) {
                    return; // nobody is there
                }
                anew = true;
                shuffle();
            }
            Member m = round.isEmpty() ? null : round.remove(round.size() - 1); // one that has gone is passed over
            if (m != null && m.there() && roll.holds(m)) {
                probe.target = m;
                probe.number = ++numbers;
                ping(m, probe.number);
            }
        }
    }

    /** One shuffled round after the other: each is probed within two rounds (SWIM, section 4.3). */
    private void shuffle() {
        roll.all().stream().filter(Member::there).forEach(round::add);
        for (int i = round.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            Member m = round.get(i);
            round.set(i, round.get(j));
            round.set(j, m);
        }
    }

    /** A suspect hears of it first of all (Lifeguard's buddy system). */
    private void ping(Member m, long number) {
        out.add(new Message.Sent(
                m.name,
                new Message.Ping(number, m.name),
                m.standing == MemberState.SUSPECT ? List.of(roll.of(m)) : List.of()));
    }

    private void askOthers() {
        probe.asked = true;
        for (Member m : some(tempo.indirect(), m -> m.standing == MemberState.ALIVE && m != probe.target)) {
            probe.helpers++;
            send(m.name, new Message.PingFor(probe.number, probe.target.name));
        }
    }

    /** With one present, now and then with one that is lost or a seed: two halves that were apart find each other so. */
    private void sync(long now) {
        // less often in a large fleet, whose state is larger: so the bytes a second stay
        double scale = Math.max(1, present() / 32.0);
        nextSync = now + (long) (tempo.syncNs() * scale * (0.75 + 0.5 * random.nextDouble()));
        List<Member> present = some(1, Member::there);
        List<String> lost = new ArrayList<>(roll.notAlive().stream()
                .filter(m -> m.standing == MemberState.DEAD)
                .map(m -> m.address)
                .toList());
        seeds.stream()
                .filter(s -> !s.equals(address) && roll.all().stream().noneMatch(m -> m.there() && m.address.equals(s)))
                .forEach(lost::add);
        if (present.isEmpty()) {
            nextSync = Math.min(nextSync, now + 2 * tempo.periodNs()); // alone: joins as soon as a seed is there
            syncs.addAll(lost.isEmpty() ? List.of() : List.of(lost.get(random.nextInt(lost.size()))));
            return;
        }
        syncs.add(present.get(0).address);
        if (!lost.isEmpty()) {
            syncs.add(lost.get(random.nextInt(lost.size())));
        }
    }

    // ---------------------------------------------------------------- what others say

    /** A message from a member whose name was proved; one that is not known is heard once it has said who it is. */
    public void receive(String from, Message message, long now) {
        if (left) {
            return;
        }
        if (message instanceof Message.Ping p) {
            if (p.target().equals(self)) {
                send(from, new Message.Ack(p.number()));
            }
        } else if (message instanceof Message.PingFor p) {
            Member m = roll.get(p.target());
            if (m != null && relays.size() < MOST_RELAYS) {
                long number = ++numbers;
                relays.put(
                        number,
                        new Relay(
                                from,
                                p.number(),
                                now + tempo.ackNs() * 4 / 5,
                                now + tempo.periodNs() * 2,
                                new boolean[1]));
                ping(m, number);
            }
        } else if (message instanceof Message.Ack a) {
            if (a.number() == probe.number && probe.target != null) {
                probe.answered = true;
            } else {
                Relay r = relays.remove(a.number());
                if (r != null) {
                    send(r.asker, new Message.Ack(r.theirs));
                }
            }
        } else if (message instanceof Message.Nack n && n.number() == probe.number) {
            probe.nacks = Math.min(probe.helpers, probe.nacks + 1);
        }
    }

    /** A rumour that travelled along. */
    public void hear(MembershipUpdate r, long now) {
        if (!left) {
            roll.hear(r, now);
        }
    }

    /** Another's whole state. */
    public void merge(List<MembershipUpdate> state, long now) {
        if (!left) {
            roll.merge(state, now);
        }
    }

    /** The whole state, with this member. */
    public List<MembershipUpdate> state() {
        return roll.state(left ? MemberState.LEFT : MemberState.ALIVE);
    }

    // ---------------------------------------------------------------- what goes out

    private void send(String to, Message message) {
        if (roll.get(to) != null) {
            out.add(new Message.Sent(to, message, List.of()));
        }
    }

    /** The messages to be sent now. */
    public List<Message.Sent> sent() {
        List<Message.Sent> now = out;
        out = new ArrayList<>();
        return now;
    }

    /** Addresses with which the whole state is to be exchanged now. */
    public List<String> syncs() {
        List<String> now = syncs;
        syncs = new ArrayList<>();
        return now;
    }

    /** Rumours to go along with a message, so many bytes at most. */
    public List<MembershipUpdate> along(int bytes) {
        return roll.rumours().take(bytes, tempo.transmits(present()));
    }

    /** How often a rumour is sent along. */
    int transmits() {
        return tempo.transmits(present());
    }

    /** Where a member is to be reached; null of one that is not known. */
    public String address(String name) {
        Member m = roll.get(name);
        return m == null ? null : m.address;
    }

    /** Who is at that address; empty where nobody is known to be. */
    public String nameAt(String at) {
        return roll.all().stream()
                .filter(m -> m.address.equals(at))
                .map(m -> m.name)
                .findFirst()
                .orElse("");
    }

    /** Every member but this one, as it is held, for those who look. */
    public List<MembershipUpdate> seen() {
        return roll.all().stream()
                .map(m -> new MembershipUpdate(m.name, m.address, m.standing, m.incarnation, m.name))
                .toList();
    }

    /** How ill this member takes itself to be, 0 to {@link GossipTimings#mostHealth}. */
    public int health() {
        return health;
    }

    /** One that is not on the roster any more; what is still said of it is for the caller to pass over. */
    public void remove(String name) {
        roll.remove(name);
    }

    /** Says good-bye: to some at once, from whom it travels on; after that nothing is done any more. */
    public void leave() {
        MembershipUpdate goodBye = roll.own(MemberState.LEFT);
        roll.rumours().say(self, goodBye);
        for (Member m : some(tempo.transmits(present()), Member::there)) {
            out.add(new Message.Sent(m.name, new Message.Ping(++numbers, m.name), List.of(goodBye)));
        }
        left = true;
    }
}
