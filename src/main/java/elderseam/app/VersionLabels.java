package elderseam.app;

import elderseam.fleet.config.ConfigurationVersion;

/** How versions are named in answers to operators. */
final class VersionLabels {
    private VersionLabels() {}

    /** A version's number and short hash. */
    static String numbered(ConfigurationVersion version) {
        return version.number() + " " + version.shortHash();
    }

    /** The first line of what is wrong, or {@code otherwise} where an exception says nothing. */
    static String firstLine(Exception fault, String otherwise) {
        return String.valueOf(fault.getMessage()).lines().findFirst().orElse(otherwise);
    }
}
