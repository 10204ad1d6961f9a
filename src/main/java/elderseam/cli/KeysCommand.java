package elderseam.cli;

import elderseam.acme.SecretSealer;
import elderseam.gossip.MemberNames;
import elderseam.gossip.security.AddressRanges;
import elderseam.gossip.security.KeyFile;
import elderseam.gossip.security.Roster;
import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Optional;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code keys}: makes the members' keys, and reads the roster that names them. */
@Command(
        name = "keys",
        description = "Keys of instances, and the roster that names them.",
        subcommands = {KeysCommand.New.class, KeysCommand.SealKey.class, KeysCommand.ListMembers.class})
final class KeysCommand extends CommandGroup {
    /** The failure of a command that would have to overwrite a key. */
    private static IOException keyExists(Path file) {
        return new IOException(file + ": there already, a key is not written over");
    }

    @Command(
            name = "new",
            description = "Makes a key in a file that only its owner may read, and tells the line for every roster.")
    static final class New extends CommandBase {
        @Parameters(index = "0", paramLabel = "FILE", description = "the key file; it must not be there yet")
        private Path file;

        @Option(names = "--name", required = true, description = "the instance's name")
        private String name;

        @Option(
                names = "--from",
                required = true,
                paramLabel = "CIDR[,CIDR...]",
                description = "the addresses that it may speak from")
        private String ranges;

        @Override
        public Integer call() throws IOException {
            if (!MemberNames.isValid(name)) {
                throw usageFault("--name: '" + name + "' is no name, allowed: 1 to 64 of A-Z a-z 0-9 . _ -");
            }
            Optional<String> fault = AddressRanges.findFault(ranges);
            if (fault.isPresent()) {
                throw usageFault("--from: " + fault.get());
            }
            try {
                KeyFile key = KeyFile.create(file);
                out().println(name + " " + ranges + " " + key.publicKeyText());
                return ExitCodes.OK;
            } catch (FileAlreadyExistsException e) {
                throw keyExists(file);
            }
        }
    }

    @Command(
            name = "seal",
            description =
                    "Makes a key by which the members of a fleet seal what they pass on; the same file goes to each of them.")
    static final class SealKey extends CommandBase {
        @Parameters(index = "0", paramLabel = "FILE", description = "the key file; it must not be there yet")
        private Path file;

        @Override
        public Integer call() throws IOException {
            try {
                SecretSealer.createKeyFile(file, new SecureRandom());
                return ExitCodes.OK;
            } catch (FileAlreadyExistsException e) {
                throw keyExists(file);
            }
        }
    }

    @Command(
            name = "list",
            description =
                    "What a roster says; tells every fault of it, a line each, and exits with 1 where there is one.")
    static final class ListMembers extends CommandBase {
        @Parameters(index = "0", paramLabel = "ROSTER")
        private Path roster;

        @Option(names = "--json", description = "one JSON object for each member")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            for (Roster.Entry member : Roster.read(roster).all()) {
                String ranges = String.join(
                        ",", member.ranges().stream().map(Object::toString).toList());
                if (json) {
                    String keys = String.join("\",\"", member.keyTexts());
                    out().printf("{\"name\":\"%s\",\"from\":\"%s\",\"keys\":[\"%s\"]}%n", member.name(), ranges, keys);
                } else {
                    out().printf("%-20s %-30s %s%n", member.name(), ranges, String.join(" ", member.keyTexts()));
                }
            }
            return ExitCodes.OK;
        }
    }
}
