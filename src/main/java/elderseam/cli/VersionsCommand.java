package elderseam.cli;

import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionContent;
import elderseam.fleet.config.VersionStore;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The commands below {@code config} that speak of versions, to a running member by its second address, or offline on its folder. */
final class VersionsCommand {
    private static final int ANSWER_MS = 10_000, AGAIN_MS = 100;
    private static final String CALLED = "versions"; // the folder below a member's state

    private VersionsCommand() {}

    /** What a member answers to a line; the first line says whether it could. */
    private static List<String> ask(CommandSpec spec, String at, String line) throws IOException {
        int colon = at.lastIndexOf(':');
        if (colon < 1 || !at.substring(colon + 1).matches("\\d{1,5}")) {
            throw new ParameterException(
                    spec.commandLine(), "--at: '" + at + "', allowed: ADDRESS:PORT, a member's second address");
        }
        try (Socket s = new Socket(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1)))) {
            s.setSoTimeout(ANSWER_MS);
            s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            List<String> lines = new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1)
                    .lines()
                    .toList();
            if (lines.isEmpty() || !lines.get(0).startsWith("200 ")) {
                throw new IOException(at + ": "
                        + (lines.isEmpty() ? "no answer" : lines.get(0).replaceFirst("^400 ", "")));
            }
            return lines;
        }
    }

    private static String value(List<String> lines, String name) {
        return lines.stream()
                .filter(l -> l.startsWith(name + "="))
                .map(l -> l.substring(name.length() + 1))
                .findFirst()
                .orElse("");
    }

    /** Asks for a proposal, and waits for what becomes of it: 0 committed, 1 refused. */
    private static int proposed(CommandSpec spec, String at, String line) throws IOException, InterruptedException {
        List<String> before = ask(spec, at, "CONFIG");
        String hash = ask(
                        spec, at, line.replace("PARENT", value(before, "latest").split(" ")[0]))
                .get(0)
                .replaceFirst("^200 asked ([0-9a-f]+);.*", "$1");
        PrintWriter out = spec.commandLine().getOut();
        String old = value(before, "ended");
        while (true) {
            List<String> now = ask(spec, at, "CONFIG");
            String[] ended = value(now, "ended").split(" ", 3);
            String refused = value(now, "refused");
            if (refused.startsWith(hash + " ")) {
                out.println("refused: " + refused.substring(hash.length() + 1));
                return 1;
            } else if (ended.length > 1
                    && ended[1].equals(hash)
                    && !value(now, "ended").equals(old)) {
                boolean committed = ended.length < 3 || ended[2].isBlank();
                out.println(
                        committed
                                ? "version " + ended[0] + " " + hash + " is committed"
                                : "version " + ended[0] + ": " + ended[2]);
                return committed ? 0 : 1;
            }
            Thread.sleep(AGAIN_MS); // nothing tells of it unasked
        }
    }

    /** A word for the log of all members: printable, on one line. */
    private static String note(CommandSpec spec, String note) {
        if (!note.matches("[ -~]{1,120}")) {
            throw new ParameterException(spec.commandLine(), "--note: allowed: 1 to 120 printable characters");
        }
        return note;
    }

    @Command(
            name = "propose",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "Proposes a file's [rules] and [discovery], with the files of rules it names, to the fleet; exits with 1 where it is refused.")
    static final class Propose implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FILE", description = "on the member's machine")
        private Path file;

        @Option(names = "--at", required = true, paramLabel = "ADDRESS:PORT", description = "a member's second address")
        private String at;

        @Option(names = "--note", required = true, description = "why")
        private String note;

        @Override
        public Integer call() throws IOException, InterruptedException {
            String hash = ConfigurationVersion.shortHash(
                    VersionContent.read(file)); // what is wrong with its form is told here already
            return proposed(
                    spec,
                    at,
                    "CONFIG PROPOSE PARENT " + hash + " "
                            + file.toAbsolutePath().normalize() + " " + note(spec, note));
        }
    }

    @Command(
            name = "rollback",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description = "Proposes an earlier version's content as a new version; 0 is each member's own files.")
    static final class Rollback implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "VERSION")
        private long version;

        @Option(names = "--at", required = true, paramLabel = "ADDRESS:PORT", description = "a member's second address")
        private String at;

        @Option(names = "--note", required = true, description = "why")
        private String note;

        @Override
        public Integer call() throws IOException, InterruptedException {
            return proposed(spec, at, "CONFIG ROLLBACK " + version + " " + note(spec, note));
        }
    }

    /** Where to look: running members, or one's folder. */
    static final class Where {
        @Option(names = "--at", split = ",", paramLabel = "ADDRESS:PORT", description = "members' second addresses")
        private List<String> at;

        @Option(names = "--folder", paramLabel = "DIR", description = "a member's folder that lasts, offline")
        private Path folder;

        List<ConfigurationVersion> kept() throws IOException {
            if (!Files.isDirectory(folder.resolve(CALLED))) {
                throw new IOException(folder + ": no versions are kept there");
            }
            return new VersionStore(folder.resolve(CALLED)).loadAll();
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "Which version each member acts on, and how long ago it confirmed that; offline, which are kept.")
    static final class Status implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @ArgGroup(multiplicity = "1")
        private Where where;

        @Override
        public Integer call() throws IOException {
            PrintWriter out = spec.commandLine().getOut();
            if (where.folder != null) {
                ConfigurationVersion acting = new VersionStore(where.folder.resolve(CALLED)).loadActing();
                where.kept()
                        .forEach(v -> out.println((v.number() == acting.number() ? "* " : "  ") + v.number() + " "
                                + v.shortHash() + " from " + v.parent() + " by " + v.author() + ": "
                                + v.note()));
                out.println("acted on last: " + acting.number() + " " + acting.shortHash());
                return 0;
            }
            for (String at : where.at) {
                List<String> lines = ask(spec, at, "CONFIG");
                out.printf(
                        "%-22s acting %s, doubt %s, confirmed %s ms ago, next %s, latest %s, pending %s, fault %s%n",
                        at,
                        value(lines, "acting"),
                        value(lines, "doubt"),
                        value(lines, "confirmed_ms"),
                        value(lines, "next"),
                        value(lines, "latest"),
                        value(lines, "pending"),
                        value(lines, "fault"));
            }
            return 0;
        }
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description = "What changes from one version to another.")
    static final class Diff implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "A")
        private long a;

        @Parameters(index = "1", paramLabel = "B")
        private long b;

        @ArgGroup(multiplicity = "1")
        private Where where;

        private ConfigurationVersion find(List<ConfigurationVersion> all, long number) throws IOException {
            return number == 0
                    ? ConfigurationVersion.NONE
                    : all.stream()
                            .filter(v -> v.number() == number)
                            .findFirst()
                            .orElseThrow(() -> new IOException("version " + number + " is not kept"));
        }

        @Override
        public Integer call() throws IOException {
            List<String> lines;
            if (where.folder != null) {
                List<ConfigurationVersion> all = where.kept();
                lines = VersionContent.diff(find(all, a), find(all, b));
            } else {
                lines = ask(spec, where.at.get(0), "CONFIG DIFF " + a + " " + b).stream()
                        .skip(1)
                        .toList();
            }
            lines.forEach(spec.commandLine().getOut()::println);
            return 0;
        }
    }
}
