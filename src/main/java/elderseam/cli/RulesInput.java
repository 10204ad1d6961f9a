package elderseam.cli;

import elderseam.core.JsonValue;
import elderseam.rules.KnownNames;
import elderseam.rules.RuleLimits;
import elderseam.rules.RuleLoader;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The arguments of every command on rules: the rules, or the settings that name them, and the platform's configuration. */
final class RulesInput {
    private static final String RULES_SECTION = "[rules]";

    @Parameters(index = "0", paramLabel = "FILE", description = "a rules file, or settings whose [rules] names them")
    private Path file;

    @Option(
            names = "--config",
            paramLabel = "JSON",
            description = "the platform's configuration (RELAY_CONFIG), which names classes and tenants; without "
                    + "it each name that stands in a rule is taken for one")
    private Path platformConfiguration;

    /** The file, as the operator named it. */
    Path file() {
        return file;
    }

    /** The settings in the file; the defaults if it is a rules file. */
    Settings settings() throws IOException {
        boolean isSettingsFile = Settings.lines(file, "a rules file").stream()
                .anyMatch(line -> line.strip().equals(RULES_SECTION));
        return isSettingsFile ? Settings.read(file) : Settings.none();
    }

    /** The names that rules may use, or that they are not known. */
    KnownNames names() throws IOException {
        if (platformConfiguration == null) {
            return KnownNames.unchecked();
        }
        JsonValue settings =
                JsonValue.read(Files.readAllBytes(platformConfiguration)).get("settings");
        return KnownNames.of(names(settings.get("services")), names(settings.get("orgs")));
    }

    private static List<String> names(JsonValue list) {
        return list.items().stream().map(item -> item.get("name").asText("")).toList();
    }

    /** Loads the rules. Throws a {@link elderseam.settings.SettingsFault} with every fault of them. */
    RuleLoader.Loaded load(KnownNames names) throws IOException {
        Settings settings = settings();
        return RuleLoader.read(files(settings), RuleLimits.of(settings), names);
    }

    private List<Path> files(Settings settings) {
        return settings.isSet(SettingKeys.RULES_FILES)
                ? settings.get(SettingKeys.RULES_FILES).stream().map(Path::of).toList()
                : List.of(file);
    }
}
