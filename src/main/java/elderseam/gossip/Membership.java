package elderseam.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Who is there, after SWIM (Das, Gupta, Motivala 2002): each period one member is probed in a shuffled round, first directly,
 * then through others; who does not answer is suspected, and dead when nobody clears it in time; rumours travel with the
 * probes, a bounded number of times; a member that hears itself suspected raises its incarnation and says so. With
 * Lifeguard (Dadgar, Phillips, Currey 2018): a member whose own probes fail or whose helpers are silent takes itself to be
 * the slow one, and probes more slowly; suspicions begin long and shorten with each independent confirmation; a suspect is
 * told so by whoever probes it. The roles of dead and left members, the treatment of a foreign dead one as suspect in a full
 * exchange, and the looks at seeds and lost members after a partition follow the practice of memberlist.
 *
 * <p>Times are nanoseconds that never run backwards. {@link #tick} is to be called at {@link #nextAt}. Bounds: members by
 * whoever calls (a roster), helpers' questions 256.
 */
public final class Membership {
    private static final int MOST_RELAYS = 256, RUMOUR_BYTES = 24;

    private final class Member {
        final String name;
        String address;
        Standing standing = Standing.ALIVE;
        long incarnation, since;
        final Set<String> confirmed = new HashSet<>();   // who suspects it

        Member(String name) {
            this.name = name;
        }

        /** When its suspicion ends in death. */
        long deadAt() {
            int confirmations = Math.max(0, confirmed.size() - 1);
            return since + tempo.suspicionNs(present(), Math.min(confirmations, tempo.expected(present())));
        }

        Rumour rumour() {
            String from = standing == Standing.SUSPECT || standing == Standing.DEAD ? self : name;
            return new Rumour(name, address, standing, incarnation, from);
        }
    }

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
    private final Tempo tempo;
    private final SplittableRandom random;
    private final List<String> seeds;
    private final BiConsumer<String, Standing> changed;
    private final Map<String, Member> members = new LinkedHashMap<>();   // not this one
    private final List<Member> round = new ArrayList<>();
    private final Map<Long, Relay> relays = new TreeMap<>();
    private final Spread<Rumour> rumours = new Spread<>(1_024, Membership::bytes);
    private List<Message.Sent> out = new ArrayList<>();
    private List<String> syncs = new ArrayList<>();
    private Probe probe;
    private long incarnation, numbers, nextSync, nextNews;
    private int health;
    private boolean left;

    /**
     * {@code seeds}: addresses of members to join through; {@code incarnation}: above that of any earlier life, such as the
     * wall clock at the start; {@code changed}: told each change of another's standing.
     */
    public Membership(String self, String address, List<String> seeds, long incarnation, Tempo tempo, long now,
                      SplittableRandom random, BiConsumer<String, Standing> changed) {
        this.self = self;
        this.address = address;
        this.seeds = List.copyOf(seeds);
        this.incarnation = incarnation;
        this.tempo = tempo;
        this.random = random;
        this.changed = changed;
        this.nextSync = now;
        this.nextNews = now;
        rumours.say(self, own(Standing.ALIVE));
        newProbe(now, (long) (random.nextDouble() * tempo.periodNs()));   // members that start together probe apart
    }

    private Rumour own(Standing standing) {
        return new Rumour(self, address, standing, incarnation, self);
    }

    /** Bytes of a rumour on the wire, at most. */
    static int bytes(Rumour r) {
        return RUMOUR_BYTES + r.member().length() + r.address().length() + r.from().length();
    }

    // ---------------------------------------------------------------- what it knows

    /** Members that are not dead and have not left, with this one. */
    public int present() {
        return 1 + (int) members.values().stream().filter(Membership::there).count();
    }

    private static boolean there(Member m) {
        return m.standing == Standing.ALIVE || m.standing == Standing.SUSPECT;
    }

    /** What is held of a member; null of one that is not known. */
    public Standing standing(String name) {
        Member m = members.get(name);
        return name.equals(self) ? left ? Standing.LEFT : Standing.ALIVE : m == null ? null : m.standing;
    }

    /** Where a member is reached, or null. */
    public String address(String name) {
        Member m = members.get(name);
        return m == null ? null : m.address;
    }

    /** The names of those present, without this one. */
    public List<String> others() {
        return members.values().stream().filter(Membership::there).map(m -> m.name).toList();
    }

    public long incarnation() {
        return incarnation;
    }

    /** How ill this member takes itself to be: 0 well, up to {@link Tempo#mostHealth}. */
    public int health() {
        return health;
    }

    // ---------------------------------------------------------------- time

    /** When it wants its next tick. */
    public long nextAt() {
        if (left) {
            return Long.MAX_VALUE;
        }
        long at = Math.min(nextSync, probe.asked || probe.answered || probe.target == null ? probe.end
                : Math.min(probe.answerBy, probe.end));
        if (rumours.subjects() > 0 && !members.isEmpty()) {
            at = Math.min(at, nextNews);
        }
        for (Member m : members.values()) {
            if (m.standing == Standing.SUSPECT) {
                at = Math.min(at, m.deadAt());
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
        for (Member m : List.copyOf(members.values())) {
            if (m.standing == Standing.SUSPECT && now >= m.deadAt()) {
                become(m, Standing.DEAD, m.incarnation, now);
                say(m);
            } else if (!there(m) && now - m.since >= tempo.forgetNs()) {
                members.remove(m.name);
                rumours.forget(m.name);
            }
        }
        if (now >= probe.end) {
            judge(now);
            newProbe(now, 0);
        } else if (probe.target != null && !probe.answered && !probe.asked && now >= probe.answerBy) {
            askOthers();
        }
        if (now >= nextSync) {
            sync(now);
        }
        if (now >= nextNews && rumours.subjects() > 0) {
            news(now);
        }
    }

    /** Rumours for their own sake, at a pace that does not follow this member's health. */
    private void news(long now) {
        nextNews = now + tempo.newsNs();
        List<Member> present = new ArrayList<>(members.values().stream().filter(Membership::there).toList());
        for (int left = tempo.fan(); left > 0 && !present.isEmpty(); left--) {
            out.add(new Message.Sent(present.remove(random.nextInt(present.size())).name, new Message.News(), List.of()));
        }
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
        if (there(m)) {
            suspect(m, m.incarnation, self, now);
        }
    }

    private void feel(int worse) {
        health = tempo.localHealth() ? Math.max(0, Math.min(tempo.mostHealth(), health + worse)) : 0;
    }

    private void newProbe(long now, long later) {
        probe = new Probe();
        long slower = 1 + health;
        probe.end = now + tempo.periodNs() * slower + later;
        probe.answerBy = now + tempo.ackNs() * slower;
        if (later > 0 || members.isEmpty()) {
            return;
        }
        for (boolean anew = false; probe.target == null; ) {
            if (round.isEmpty()) {
                if (anew) {
                    return;   // nobody is there
                }
                anew = true;
                shuffle();
            }
            Member m = round.isEmpty() ? null : round.remove(round.size() - 1);   // one that has gone is passed over
            if (m != null && there(m) && members.get(m.name) == m) {
                probe.target = m;
                probe.number = ++numbers;
                ping(m, probe.number);
            }
        }
    }

    /** One shuffled round after the other: each is probed within two rounds (SWIM, section 4.3). */
    private void shuffle() {
        members.values().stream().filter(Membership::there).forEach(round::add);
        for (int i = round.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            Member m = round.get(i);
            round.set(i, round.get(j));
            round.set(j, m);
        }
    }

    /** A suspect hears of it first of all (Lifeguard's buddy system). */
    private void ping(Member m, long number) {
        out.add(new Message.Sent(m.name, new Message.Ping(number, m.name),
                m.standing == Standing.SUSPECT ? List.of(m.rumour()) : List.of()));
    }

    private void askOthers() {
        probe.asked = true;
        List<Member> helpers = new ArrayList<>(members.values().stream()
                .filter(m -> m.standing == Standing.ALIVE && m != probe.target).toList());
        for (int left = tempo.indirect(); left > 0 && !helpers.isEmpty(); left--) {
            Member m = helpers.remove(random.nextInt(helpers.size()));
            probe.helpers++;
            send(m.name, new Message.PingFor(probe.number, probe.target.name));
        }
    }

    /** With one present, now and then with one that is lost or a seed: two halves that were apart find each other so. */
    private void sync(long now) {
        // less often in a large fleet, whose state is larger: so the bytes a second stay
        double scale = Math.max(1, present() / 32.0);
        nextSync = now + (long) (tempo.syncNs() * scale * (0.75 + 0.5 * random.nextDouble()));
        List<Member> present = members.values().stream().filter(Membership::there).toList();
        List<String> lost = new ArrayList<>(members.values().stream().filter(m -> m.standing == Standing.DEAD)
                .map(m -> m.address).toList());
        seeds.stream().filter(s -> !s.equals(address) && members.values().stream().noneMatch(m -> there(m) && m.address.equals(s)))
                .forEach(lost::add);
        if (present.isEmpty()) {
            nextSync = Math.min(nextSync, now + 2 * tempo.periodNs());   // alone: joins as soon as a seed is there
            syncs.addAll(lost.isEmpty() ? List.of() : List.of(lost.get(random.nextInt(lost.size()))));
            return;
        }
        syncs.add(present.get(random.nextInt(present.size())).address);
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
            Member m = members.get(p.target());
            if (m != null && relays.size() < MOST_RELAYS) {
                long number = ++numbers;
                relays.put(number, new Relay(from, p.number(), now + tempo.ackNs() * 4 / 5, now + tempo.periodNs() * 2,
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
    public void hear(Rumour r, long now) {
        if (left) {
            return;
        }
        if (r.member().equals(self)) {
            hearOfSelf(r);
            return;
        }
        Member m = members.get(r.member());
        if (m == null) {
            if (r.standing() == Standing.ALIVE || r.standing() == Standing.SUSPECT) {
                m = new Member(r.member());
                m.address = r.address();
                m.incarnation = r.incarnation();
                m.since = now;
                members.put(m.name, m);
                round.add(random.nextInt(round.size() + 1), m);
                changed.accept(m.name, Standing.ALIVE);
                say(m);
                if (r.standing() == Standing.SUSPECT) {
                    suspect(m, r.incarnation(), r.from(), now);
                }
            }
            return;
        }
        switch (r.standing()) {
            case ALIVE -> {
                if (r.incarnation() > m.incarnation) {
                    m.address = r.address();
                    become(m, Standing.ALIVE, r.incarnation(), now);
                    say(m);
                }
            }
            case SUSPECT -> {
                if (r.incarnation() >= m.incarnation && there(m)) {
                    suspect(m, r.incarnation(), r.from(), now);
                }
            }
            case DEAD, LEFT -> {
                if (r.incarnation() >= m.incarnation && there(m)) {
                    become(m, r.standing(), r.incarnation(), now);
                    say(m);
                }
            }
        }
    }

    /** Another's whole state; its dead are only suspects here, so that they may speak for themselves. */
    public void merge(List<Rumour> state, long now) {
        for (Rumour r : state) {
            hear(r.standing() == Standing.DEAD ? new Rumour(r.member(), r.address(), Standing.SUSPECT, r.incarnation(), r.from())
                    : r, now);
        }
    }

    /** The whole state, with this member. */
    public List<Rumour> state() {
        List<Rumour> all = new ArrayList<>();
        all.add(own(left ? Standing.LEFT : Standing.ALIVE));
        members.values().forEach(m -> all.add(m.rumour()));
        return all;
    }

    private void hearOfSelf(Rumour r) {
        boolean wrong = r.standing() != Standing.ALIVE && r.incarnation() >= incarnation
                || r.standing() == Standing.ALIVE && (r.incarnation() > incarnation
                || r.incarnation() == incarnation && !r.address().equals(address));
        if (wrong) {
            incarnation = r.incarnation() + 1;
            if (r.standing() == Standing.SUSPECT) {
                feel(1);
            }
            rumours.say(self, own(Standing.ALIVE));
        }
    }

    private void suspect(Member m, long atIncarnation, String from, long now) {
        if (m.standing == Standing.SUSPECT && atIncarnation == m.incarnation) {
            if (m.confirmed.size() <= tempo.expected(present()) && m.confirmed.add(from)) {
                rumours.say(m.name, new Rumour(m.name, m.address, Standing.SUSPECT, m.incarnation, from));
            }
            return;
        }
        become(m, Standing.SUSPECT, atIncarnation, now);
        m.confirmed.add(from);
        rumours.say(m.name, new Rumour(m.name, m.address, Standing.SUSPECT, m.incarnation, from));
    }

    private void become(Member m, Standing standing, long atIncarnation, long now) {
        Standing before = m.standing;
        m.standing = standing;
        m.incarnation = atIncarnation;
        m.since = now;
        m.confirmed.clear();
        if (before != standing) {
            changed.accept(m.name, standing);
        }
    }

    private void say(Member m) {
        rumours.say(m.name, m.rumour());
    }

    // ---------------------------------------------------------------- what goes out

    private void send(String to, Message message) {
        if (members.containsKey(to)) {
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
    public List<Rumour> along(int bytes) {
        return rumours.take(bytes, tempo.transmits(present()));
    }

    /** One that is not on the roster any more. */
    public void remove(String name, long now) {
        Member m = members.remove(name);
        rumours.forget(name);
        if (m != null && there(m)) {
            changed.accept(name, Standing.LEFT);
        }
    }

    /** Says good-bye: to some at once, from whom it travels on; after that nothing is done any more. */
    public void leave() {
        rumours.say(self, own(Standing.LEFT));
        List<Member> present = new ArrayList<>(members.values().stream().filter(Membership::there).toList());
        for (int n = tempo.transmits(present()); n > 0 && !present.isEmpty(); n--) {
            Member m = present.remove(random.nextInt(present.size()));
            out.add(new Message.Sent(m.name, new Message.Ping(++numbers, m.name), List.of(own(Standing.LEFT))));
        }
        left = true;
    }

    /** Standing by name, for a look from outside. */
    public Map<String, Standing> standings() {
        Map<String, Standing> all = new HashMap<>();
        members.forEach((name, m) -> all.put(name, m.standing));
        return all;
    }
}
