package elderseam.testkit.lab;

import elderseam.testkit.emulator.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

/** One self-contained HTML page of runs of one plan: figures, charts over time, latencies, and what was done to the world. */
public final class HtmlReport {
    private static final String STYLE =
            "body{font:14px sans-serif;margin:2em;max-width:1000px}table{border-collapse:collapse}td,th{padding:2px 10px;border-bottom:1px solid #ddd;"
                    + "text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:#b00;font-weight:bold}pre{background:#f6f6f6;padding:8px}";

    private HtmlReport() {}

    public static String page(Scenario plan, List<ExperimentRun> runs) {
        StringBuilder all = new StringBuilder("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
                + text(plan.name()) + "</title><style>" + STYLE + "</style></head><body><h1>" + text(plan.name())
                + "</h1><p>" + text(what(plan)) + "</p>");
        figures(all, runs);
        List<ChartRenderer.Band> bands = bands(plan);
        all.append("<h2>Service by second of birth</h2>")
                .append(ChartRenderer.lines(of(runs, ExperimentRun::series), 0, 1, bands));
        all.append("<h2>Refusals a second</h2>")
                .append(ChartRenderer.lines(of(runs, r -> doubles(r.refusals())), 0, Double.NaN, bands));
        all.append("<h2>Failed calls a second</h2>")
                .append(ChartRenderer.lines(of(runs, r -> doubles(r.failed())), 0, Double.NaN, bands));
        for (ExperimentRun r : runs) {
            if (!r.breakers().isEmpty()) {
                all.append("<h2>Breakers, ")
                        .append(text(r.policy()))
                        .append(
                                "</h2><p>Of each destination that had one open: red open, yellow trying, the worst of all dispatchers.</p>")
                        .append(ChartRenderer.timeline(r.breakers(), bands));
            }
        }
        latencies(all, runs);
        for (ExperimentRun r : runs) {
            if (!r.words().isEmpty()) {
                all.append("<h2 class=\"bad\">Rules broken, ")
                        .append(text(r.policy()))
                        .append("</h2><pre>")
                        .append(text(r.words()))
                        .append("</pre>");
            }
        }
        return all.append("</body></html>\n").toString();
    }

    private static String what(Scenario p) {
        return String.format(
                Locale.ROOT,
                "%d dispatchers, %d destinations, about %.0f messages a second for %.0f s",
                p.fleet().dispatchers(),
                p.destinations(),
                p.rate(),
                p.seconds());
    }

    private static void figures(StringBuilder to, List<ExperimentRun> runs) {
        to.append("<table><tr><th>figure</th>");
        runs.forEach(r -> to.append("<th>")
                .append(text(r.policy()))
                .append(", seed ")
                .append(r.seed())
                .append("</th>"));
        to.append("</tr>");
        for (String f : runs.get(0).figures().keySet()) {
            to.append("<tr><td>").append(text(f)).append("</td>");
            runs.forEach(r -> to.append(f.equals("broken") && r.figures().get(f) > 0 ? "<td class=\"bad\">" : "<td>")
                    .append(ExperimentRun.number(r.figures().get(f)))
                    .append("</td>"));
            to.append("</tr>");
        }
        to.append("</table>");
    }

    private static void latencies(StringBuilder to, List<ExperimentRun> runs) {
        to.append("<h2>Latency of what was delivered, ms</h2><table><tr><th>class</th>");
        for (double p : ExperimentRun.PERCENTILES) {
            to.append("<th>")
                    .append(ExperimentRun.number(p).replaceAll("0+$", p == Math.rint(p) ? "$0" : ""))
                    .append("%</th>");
        }
        to.append("</tr>");
        for (ExperimentRun r : runs) {
            for (Map.Entry<String, double[]> e : r.latencies().entrySet()) {
                to.append("<tr><td>")
                        .append(text(r.policy() + ", " + e.getKey()))
                        .append("</td>");
                for (double v : e.getValue()) {
                    to.append(String.format(Locale.ROOT, "<td>%.1f</td>", v));
                }
                to.append("</tr>");
            }
        }
        to.append("</table>");
    }

    private static Map<String, double[]> of(List<ExperimentRun> runs, Function<ExperimentRun, double[]> series) {
        Map<String, double[]> all = new java.util.LinkedHashMap<>();
        runs.forEach(r -> all.put(r.policy(), series.apply(r)));
        return all;
    }

    private static double[] doubles(int[] of) {
        return java.util.Arrays.stream(of).asDoubleStream().toArray();
    }

    private static List<ChartRenderer.Band> bands(Scenario p) {
        List<ChartRenderer.Band> all = new ArrayList<>();
        p.troubles()
                .forEach(t -> all.add(new ChartRenderer.Band(
                        t.at(), t.at() + t.lasts(), t.kind() + " " + t.fault().wireName(), "#f6c7c7")));
        p.floods().forEach(f -> all.add(new ChartRenderer.Band(f.at(), f.at() + f.lasts(), "flood", "#c7dcf6")));
        p.restarts()
                .forEach(r -> all.add(new ChartRenderer.Band(
                        r.at(),
                        r.at() + r.within() + r.downMs() / 1_000,
                        r.how().wireName(),
                        "#e0e0e0")));
        return all;
    }

    static String text(String s) {
        return s.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }
}
