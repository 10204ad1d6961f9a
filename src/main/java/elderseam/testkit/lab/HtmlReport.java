package elderseam.testkit.lab;

import elderseam.testkit.emulator.Scenario;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

/**
 * One HTML page on several runs of one scenario: figures, charts over time, breakers, latencies and broken rules. The page embeds all
 * that it shows and loads nothing.
 */
public final class HtmlReport {
    private static final String STYLE =
            "body{font:14px sans-serif;margin:2em;max-width:1000px}table{border-collapse:collapse}td,th{padding:2px 10px;border-bottom:1px solid #ddd;"
                    + "text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:#b00;font-weight:bold}pre{background:#f6f6f6;padding:8px}";
    private static final String TROUBLE_COLOUR = "#f6c7c7";
    private static final String FLOOD_COLOUR = "#c7dcf6";
    private static final String RESTART_COLOUR = "#e0e0e0";
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Highest service that there can be. */
    private static final double FULL_SERVICE = 1;

    private final Scenario scenario;
    private final List<ExperimentRun> runs;
    private final List<ChartRenderer.Band> bands;
    private final StringBuilder html = new StringBuilder();

    private HtmlReport(Scenario scenario, List<ExperimentRun> runs) {
        this.scenario = scenario;
        this.runs = runs;
        this.bands = bands(scenario);
    }

    /** Formats the page; {@code runs} holds at least one, and one a policy at most. */
    public static String page(Scenario scenario, List<ExperimentRun> runs) {
        HtmlReport report = new HtmlReport(scenario, runs);
        report.appendHead();
        report.appendFigures();
        report.appendCharts();
        report.appendBreakers();
        report.appendLatencies();
        report.appendViolations();
        return report.html.append("</body></html>\n").toString();
    }

    /** Escapes text for an element or an attribute. */
    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private static List<ChartRenderer.Band> bands(Scenario scenario) {
        List<ChartRenderer.Band> bands = new ArrayList<>();
        for (Scenario.Trouble trouble : scenario.troubles()) {
            String label = trouble.kind() + " " + trouble.fault().wireName();
            bands.add(new ChartRenderer.Band(trouble.start(), trouble.end(), label, TROUBLE_COLOUR));
        }
        for (Scenario.Flood flood : scenario.floods()) {
            bands.add(new ChartRenderer.Band(flood.start(), flood.end(), "flood", FLOOD_COLOUR));
        }
        for (Scenario.Restart restart : scenario.restarts()) {
            double end = restart.start() + restart.within() + restart.downMs() / MILLIS_PER_SECOND;
            bands.add(new ChartRenderer.Band(restart.start(), end, restart.how().wireName(), RESTART_COLOUR));
        }
        return bands;
    }

    private void appendHead() {
        String name = escape(scenario.name());
        html.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(name)
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body><h1>")
                .append(name)
                .append("</h1><p>")
                .append(escape(summary()))
                .append("</p>");
    }

    private String summary() {
        return String.format(
                Locale.ROOT,
                "%d dispatchers, %d destinations, about %.0f messages a second for %.0f s",
                scenario.fleet().dispatchers(),
                scenario.destinationCount(),
                scenario.requestRate(),
                scenario.seconds());
    }

    private void appendFigures() {
        html.append("<table><tr><th>figure</th>");
        for (ExperimentRun run : runs) {
            html.append("<th>").append(escape(run.policy()));
            html.append(", seed ").append(run.seed()).append("</th>");
        }
        html.append("</tr>");
        for (String figure : runs.get(0).figures().keySet()) {
            html.append("<tr><td>").append(escape(figure)).append("</td>");
            for (ExperimentRun run : runs) {
                double value = run.figures().get(figure);
                html.append(figure.equals("broken") && value > 0 ? "<td class=\"bad\">" : "<td>");
                html.append(FigureFormat.format(value)).append("</td>");
            }
            html.append("</tr>");
        }
        html.append("</table>");
    }

    private void appendCharts() {
        appendChart("Service by second of birth", FULL_SERVICE, ExperimentRun::serviceBySecond);
        appendChart("Refusals a second", ChartRenderer.NO_MAXIMUM, run -> asDoubles(run.refusalsBySecond()));
        appendChart("Failed calls a second", ChartRenderer.NO_MAXIMUM, run -> asDoubles(run.failedCallsBySecond()));
    }

    private void appendChart(String title, double maximum, Function<ExperimentRun, double[]> series) {
        Map<String, double[]> seriesByPolicy = new LinkedHashMap<>();
        runs.forEach(run -> seriesByPolicy.put(run.policy(), series.apply(run)));
        html.append("<h2>").append(title).append("</h2>");
        html.append(ChartRenderer.lineChart(seriesByPolicy, 0, maximum, bands));
    }

    private static double[] asDoubles(int[] values) {
        return Arrays.stream(values).asDoubleStream().toArray();
    }

    private void appendBreakers() {
        for (ExperimentRun run : runs) {
            if (!run.breakerTimelines().isEmpty()) {
                html.append("<h2>Breakers, ")
                        .append(escape(run.policy()))
                        .append(
                                "</h2><p>Of each destination that had one open: red open, yellow trying, the worst of all dispatchers.</p>")
                        .append(ChartRenderer.timeline(run.breakerTimelines(), bands));
            }
        }
    }

    private void appendLatencies() {
        html.append("<h2>Latency of what was delivered, ms</h2><table><tr><th>class</th>");
        for (double percentile : ExperimentRun.PERCENTILES) {
            html.append("<th>").append(percentileLabel(percentile)).append("%</th>");
        }
        html.append("</tr>");
        for (ExperimentRun run : runs) {
            run.latencyPercentiles().forEach((requestClass, millis) -> {
                html.append("<tr><td>")
                        .append(escape(run.policy() + ", " + requestClass))
                        .append("</td>");
                for (double value : millis) {
                    html.append(String.format(Locale.ROOT, "<td>%.1f</td>", value));
                }
                html.append("</tr>");
            });
        }
        html.append("</table>");
    }

    /** Formats a percentile without the zeros at the end of its decimals. */
    private static String percentileLabel(double percentile) {
        String formatted = FigureFormat.format(percentile);
        boolean isInteger = percentile == Math.rint(percentile);
        return isInteger ? formatted : formatted.replaceAll("0+$", "");
    }

    private void appendViolations() {
        for (ExperimentRun run : runs) {
            if (!run.violations().isEmpty()) {
                html.append("<h2 class=\"bad\">Rules broken, ")
                        .append(escape(run.policy()))
                        .append("</h2><pre>")
                        .append(escape(run.violations()))
                        .append("</pre>");
            }
        }
    }
}
