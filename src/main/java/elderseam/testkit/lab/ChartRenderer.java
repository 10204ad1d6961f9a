package elderseam.testkit.lab;

import java.awt.Color;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.AnnotationLine;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Charts over time as parts of an HTML page: lines by XChart, as pictures; timelines of states as SVG. */
final class ChartRenderer {
    /** Something that was done to the world from then to then, in seconds. */
    record Band(double from, double to, String what, String colour) {}

    private static final int WIDTH = 960;
    private static final int HEIGHT = 260;
    private static final int ROW = 10;
    private static final int LEFT = 60;

    private ChartRenderer() {}

    /** One line a name, a value a second; NaN is a gap. {@code most} may be NaN: as high as needed. */
    static String lines(Map<String, double[]> all, double least, double most, List<Band> bands) {
        System.setProperty("java.awt.headless", "true");
        XYChart chart =
                new XYChartBuilder().width(WIDTH).height(HEIGHT).xAxisTitle("s").build();
        chart.getStyler().setYAxisMin(least);
        if (!Double.isNaN(most)) {
            chart.getStyler().setYAxisMax(most);
        }
        chart.getStyler().setAntiAlias(true);
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        for (Map.Entry<String, double[]> e : all.entrySet()) {
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            for (int i = 0; i < e.getValue().length; i++) {
                if (!Double.isNaN(e.getValue()[i])) {
                    x.add((double) i);
                    y.add(e.getValue()[i]);
                }
            }
            if (!x.isEmpty()) {
                XYSeries s = chart.addSeries(e.getKey(), x, y);
                s.setMarker(SeriesMarkers.NONE);
            }
        }
        for (Band b : bands) {
            chart.addAnnotation(new AnnotationLine(b.from, true, false));
            chart.addAnnotation(new AnnotationLine(b.to, true, false));
        }
        try {
            return "<img alt=\"chart\" width=\"" + WIDTH + "\" src=\"data:image/png;base64,"
                    + Base64.getEncoder()
                            .encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG))
                    + "\">";
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory does not fail so
        }
    }

    /** A row a destination, a cell a second: 0 white, 1 yellow, 2 red; behind them what was done to the world. */
    static String timeline(Map<Long, byte[]> all, List<Band> bands) {
        int seconds = all.values().iterator().next().length;
        int height = all.size() * ROW + 20;
        double cell = (WIDTH - LEFT) / (double) Math.max(1, seconds);
        StringBuilder svg = new StringBuilder(
                String.format(Locale.ROOT, "<svg width=\"%d\" height=\"%d\" font-size=\"9\">", WIDTH, height));
        for (Band b : bands) {
            svg.append(String.format(
                    Locale.ROOT,
                    "<rect x=\"%.1f\" y=\"0\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/><text x=\"%.1f\" y=\"%d\">%s</text>",
                    LEFT + b.from * cell,
                    Math.max(1, (Math.min(seconds, b.to) - b.from) * cell),
                    height - 12,
                    b.colour,
                    LEFT + b.from * cell,
                    height - 2,
                    HtmlReport.text(b.what)));
        }
        int row = 0;
        for (Map.Entry<Long, byte[]> e : all.entrySet()) {
            svg.append(String.format(Locale.ROOT, "<text x=\"0\" y=\"%d\">%d</text>", row * ROW + ROW - 1, e.getKey()));
            byte[] line = e.getValue();
            for (int from = 0, to; from < line.length; from = to) {
                for (to = from; to < line.length && line[to] == line[from]; to++) {
                    // as far as it goes
                }
                if (line[from] > 0) {
                    svg.append(String.format(
                            Locale.ROOT,
                            "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>",
                            LEFT + from * cell,
                            row * ROW + 1,
                            (to - from) * cell,
                            ROW - 2,
                            line[from] == 2 ? "#c00" : "#e8c000"));
                }
            }
            row++;
        }
        return svg + "</svg>";
    }
}
