package elderseam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The floors of docs/architecture.md: which package may use which others of the project; a package that is not listed fails. */
class ArchitectureTest {
    private static final JavaClasses SERVER_AND_KIT = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("elderseam");

    /** For each package below {@code elderseam}, the others below it that it may use. */
    private static final Map<String, Set<String>> MAY_USE = Map.ofEntries(
            Map.entry("policy", Set.of()),
            Map.entry("settings", Set.of()),
            Map.entry("logging", Set.of()),
            Map.entry("core", Set.of("logging", "policy")),
            Map.entry("handover", Set.of("core")),
            Map.entry("http", Set.of("core", "logging")),
            Map.entry("control", Set.of("core", "http", "logging")),
            Map.entry("acme", Set.of("core", "http", "logging", "settings")),
            Map.entry("frontend.platform", Set.of("core", "http", "logging", "policy")),
            Map.entry("frontend.cloudevents", Set.of("core", "http", "policy", "settings")),
            Map.entry("rules.cel", Set.of()),
            Map.entry("rules", Set.of("core", "rules.cel", "settings")),
            Map.entry("gossip", Set.of()),
            Map.entry("gossip.security", Set.of("gossip", "settings")),
            Map.entry("gossip.transport", Set.of("core", "gossip", "gossip.security", "http", "settings")),
            Map.entry("fleet", Set.of()),
            Map.entry("fleet.config", Set.of("fleet", "settings")),
            Map.entry("fleet.lease", Set.of("fleet", "fleet.config", "http")),
            Map.entry("fleet.partition", Set.of("fleet")),
            Map.entry("fleet.selftest", Set.of("fleet.lease")));

    private static String packageOf(String className) {
        String name = className.substring(0, className.lastIndexOf('.'));
        return name.equals("elderseam") ? "" : name.substring("elderseam.".length());
    }

    private static boolean isAboveTheFloors(String name) {
        return name.isEmpty() || name.equals("app") || name.equals("cli") || name.startsWith("testkit");
    }

    @Test
    void packagesUseOnlyTheFloorsBelowThem() {
        Set<String> violations = new TreeSet<>();
        SERVER_AND_KIT.forEach(type -> {
            String from = packageOf(type.getName());
            if (isAboveTheFloors(from)) {
                return;
            }
            Set<String> allowed = MAY_USE.get(from);
            type.getDirectDependenciesFromSelf().forEach(dependency -> {
                String target =
                        dependency.getTargetClass().getBaseComponentType().getName();
                if (target.startsWith("elderseam.")) {
                    String to = packageOf(target);
                    if (!to.equals(from) && (allowed == null || !allowed.contains(to))) {
                        violations.add(from + " -> " + to + " (" + type.getSimpleName() + ")");
                    }
                }
            });
        });
        assertEquals(Set.of(), violations);
    }

    @Test
    void nothingOfTheServerUsesTheTestKit() {
        noClasses()
                .that()
                .resideOutsideOfPackages("elderseam", "elderseam.cli..", "elderseam.testkit..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("elderseam.testkit..")
                .check(SERVER_AND_KIT);
    }

    @Test
    void onlyTheEntryPointStandsAtTheRoot() {
        List<String> root = SERVER_AND_KIT.stream()
                .filter(type -> type.getPackageName().equals("elderseam") && type.isTopLevelClass())
                .map(type -> type.getSimpleName())
                .filter(name -> !name.equals("package-info")) // the page of the package is no type
                .collect(Collectors.toList());
        assertEquals(Arrays.asList("Main"), root);
    }
}
