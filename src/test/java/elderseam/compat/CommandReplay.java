package elderseam.compat;

import elderseam.cli.Commands;
import elderseam.cli.Launcher;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Runs the commands below one after the other in this process and prints what each wrote to standard output and its exit code.
 * A process of its own, since it replaces the standard streams; its working folder holds the commands' inputs.
 */
final class CommandReplay {
    /** {@code {out}} is a scratch folder; {@code < FILE} gives standard input; {@code cat} and {@code usage} are this class's own. */
    private static final List<String> COMMANDS = List.of(
            "config check settings.ini",
            "config show --json settings.ini",
            "config show settings.ini",
            "config show no-such-file",
            "keys list --json roster",
            "keys list roster",
            "gossip trial --instances 3 --undisturbed 5 --seed 7 --json -",
            "gossip trial --instances 3 --undisturbed 1 --seed 7 --service --json -",
            "rules check rules.ini",
            "rules explain rules.ini size(request.path)>3&&message.class=='invoice'&&local.day<4",
            "rules explain rules.ini [has(body.a),state.breaker=='open',message.remaining<duration('3s'),now>timestamp('2026-01-01T00:00:00Z')]",
            "rules explain rules.ini {'a':1.5,'b':2.5}['a']>1.0&&size(bytes(event.lease))==2&&1u<2u&&body.x==null",
            "rules eval rules.ini --state rate=10,share=1 --json < request",
            "rules eval rules.ini --json --at 2026-12-31T08:00:00Z --state rate=10.5 < request",
            "rules eval rules.ini --json --state breaker=closed < event",
            "rules eval rules.ini --json --state breaker=half_open < event",
            "rules eval rules.ini --json --state breaker=open < event",
            "rules eval rules.ini --at 2026-12-31T08:00:00Z --state breaker=open < event",
            "rules test rules.ini",
            "lab run short.scenario --seed 3 --json --policy module,shares,forgets,robin,least,bucket,gradient,throttle,oracle",
            "lab run troubles.scenario --seed 1 --json --policy robin,module",
            "lab sweep calm.scenario {out}/sweep --set kind.bank.per_s=10,15 --policy least,robin --seeds 1 --threads 1",
            "cat {out}/sweep/runs.csv",
            "cat {out}/sweep/runs.jsonl",
            "lab compare {out}/sweep:least {out}/sweep:robin",
            "lab find calm.scenario {out}/found --policy robin --days 6 --seed 5",
            "cat {out}/found",
            "lab subsets --members 8 --endpoints 6 --size 2",
            "fleet test --schedule --rounds 12 --seed 3",
            "fleet test --schedule --rounds 8 --seed 3 --scenario versions",
            "fleet test --schedule --rounds 1 --scenario faults.fleet",
            "fleet test --rounds 0",
            "fleet test --plant nonsense",
            "fleet figures --members 1",
            "config status",
            "config propose settings.ini",
            "config diff 1",
            "config rollback",
            "lab subsets --size 0",
            "usage serve",
            "usage simhost",
            "usage authority",
            "usage train",
            "usage config check",
            "usage config show",
            "usage config propose",
            "usage config status",
            "usage config diff",
            "usage config rollback",
            "usage keys new",
            "usage keys list",
            "usage gossip trial",
            "usage gossip watch",
            "usage rules check",
            "usage rules explain",
            "usage rules eval",
            "usage rules test",
            "usage lab run",
            "usage lab sweep",
            "usage lab compare",
            "usage lab find",
            "usage lab subsets",
            "usage fleet test",
            "usage fleet figures");

    /** Starts nothing: the commands that start something are replayed for their usage alone. */
    private static final class IdleLauncher implements Launcher {
        @Override
        public void serve(Path settings) {}

        @Override
        public void runSimulatorHost() {}

        @Override
        public void startAcmeAuthority(InetSocketAddress address, int challengePort) {}

        @Override
        public void trainClassArchive() {}
    }

    private CommandReplay() {}

    public static void main(String[] args) throws Exception {
        PrintStream transcript = System.out;
        for (String command : COMMANDS) {
            transcript.print("$ " + command + "\n"
                    + output(command.replace("{out}", args[0])).replace(args[0], "{out}"));
        }
    }

    private static String output(String command) throws Exception {
        if (command.startsWith("cat ")) {
            return Files.readString(Path.of(command.substring("cat ".length())));
        }
        if (command.startsWith("usage ")) {
            return synopsis(run(command.substring("usage ".length()) + " --help"));
        }
        return run(command);
    }

    private static String run(String command) throws Exception {
        String[] part = command.split(" < ");
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        System.setOut(new PrintStream(written, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
        System.setIn(part.length > 1 ? Files.newInputStream(Path.of(part[1])) : InputStream.nullInputStream());
        int code = Commands.run(part[0].split(" "), new IdleLauncher());
        return written.toString(StandardCharsets.UTF_8) + "exit " + code + "\n";
    }

    /** The usage alone, whose names of options and parameters are fixed; the descriptions below it may be reworded. */
    private static String synopsis(String help) {
        List<String> lines = help.lines().toList();
        int end = 1;
        while (end < lines.size() && lines.get(end).startsWith("    ")) {
            end++;
        }
        return lines.subList(0, end).stream().collect(Collectors.joining("\n", "", "\n"));
    }
}
