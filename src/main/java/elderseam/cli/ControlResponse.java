package elderseam.cli;

import java.util.List;

/**
 * What a member answers on its control address to a command that it carried out.
 *
 * @param message the first line, without its status
 * @param lines the lines that follow
 */
record ControlResponse(String message, List<String> lines) {
    /** The value of the line {@code name=value}; empty where there is none. */
    String value(String name) {
        String prefix = name + "=";
        return lines.stream()
                .filter(line -> line.startsWith(prefix))
                .map(line -> line.substring(prefix.length()))
                .findFirst()
                .orElse("");
    }
}
