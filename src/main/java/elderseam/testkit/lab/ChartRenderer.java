package elderseam.testkit.lab;

import elderseam.policy.BreakerState;
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

/** Charts over time as parts of an HTML page: line charts as embedded PNG pictures (XChart), timelines of states as SVG. */
final class ChartRenderer {
    /** An interval, in seconds, in which something was done to the world, such as a trouble or a restart. */
    record Band(double from, double to, String label, String colour) {}

    /** As the highest value of a chart's axis: as high as the values need. */
    static final double NO_MAXIMUM = Double.NaN;

    private static final int WIDTH_PX = 960;
    private static final int CHART_HEIGHT_PX = 260;
    private static final int ROW_HEIGHT_PX = 10;

    /** Space at the left of a timeline, for the row's label. */
    private static final int ROW_LABEL_WIDTH_PX = 60;

    /** Space below the rows of a timeline, for the labels of the bands. */
    private static final int BAND_LABEL_HEIGHT_PX = 20;

    private static final String OPEN_COLOUR = "#c00";
    private static final String HALF_OPEN_COLOUR = "#e8c000";

    private ChartRenderer() {}

    /**
     * Draws a line chart.
     *
     * @param series by name: a value for each second; NaN is a gap
     * @param maximum highest value of the axis, or {@link #NO_MAXIMUM}
     */
    static String lineChart(Map<String, double[]> series, double minimum, double maximum, List<Band> bands) {
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PX)
                .height(CHART_HEIGHT_PX)
                .xAxisTitle("s")
                .build();
        chart.getStyler().setYAxisMin(minimum);
        if (!Double.isNaN(maximum)) {
            chart.getStyler().setYAxisMax(maximum);
        }
        chart.getStyler().setAntiAlias(true);
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        series.forEach((name, values) -> addSeries(chart, name, values));
        for (Band band : bands) {
            chart.addAnnotation(new AnnotationLine(band.from, true, false));
            chart.addAnnotation(new AnnotationLine(band.to, true, false));
        }
        return "<img alt=\"chart\" width=\"" + WIDTH_PX + "\" src=\"data:image/png;base64," + base64Png(chart) + "\">";
    }

    private static void addSeries(XYChart chart, String name, double[] values) {
        List<Double> seconds = new ArrayList<>();
        List<Double> present = new ArrayList<>();
        for (int second = 0; second < values.length; second++) {
            if (!Double.isNaN(values[second])) {
                seconds.add((double) second);
                present.add(values[second]);
            }
        }
        if (!seconds.isEmpty()) {
            XYSeries line = chart.addSeries(name, seconds, present);
            line.setMarker(SeriesMarkers.NONE);
        }
    }

    private static String base64Png(XYChart chart) {
        try {
            byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
            return Base64.getEncoder().encodeToString(png);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // the encoder writes to memory, which does not fail
        }
    }

    /**
     * Draws one row for each destination, with a coloured cell for each second in which a breaker was not closed.
     *
     * @param timelines by destination, at least one and all of the same length
     * @param bands drawn behind the rows
     */
    static String timeline(Map<Long, BreakerState[]> timelines, List<Band> bands) {
        int seconds = timelines.values().iterator().next().length;
        int height = timelines.size() * ROW_HEIGHT_PX + BAND_LABEL_HEIGHT_PX;
        double secondWidth = (WIDTH_PX - ROW_LABEL_WIDTH_PX) / (double) Math.max(1, seconds);
        StringBuilder svg = new StringBuilder(
                String.format(Locale.ROOT, "<svg width=\"%d\" height=\"%d\" font-size=\"9\">", WIDTH_PX, height));
        for (Band band : bands) {
            appendBand(svg, band, seconds, height, secondWidth);
        }
        int rowTop = 0;
        for (Map.Entry<Long, BreakerState[]> row : timelines.entrySet()) {
            svg.append(String.format(
                    Locale.ROOT, "<text x=\"0\" y=\"%d\">%d</text>", rowTop + ROW_HEIGHT_PX - 1, row.getKey()));
            appendStates(svg, row.getValue(), rowTop, secondWidth);
            rowTop += ROW_HEIGHT_PX;
        }
        return svg + "</svg>";
    }

    private static void appendBand(StringBuilder svg, Band band, int seconds, int height, double secondWidth) {
        double left = ROW_LABEL_WIDTH_PX + band.from * secondWidth;
        double width = Math.max(1, (Math.min(seconds, band.to) - band.from) * secondWidth);
        svg.append(String.format(
                Locale.ROOT,
                "<rect x=\"%.1f\" y=\"0\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/><text x=\"%.1f\" y=\"%d\">%s</text>",
                left,
                width,
                height - 12,
                band.colour,
                left,
                height - 2,
                HtmlReport.escape(band.label)));
    }

    /** Draws successive seconds of the same state as one rectangle. */
    private static void appendStates(StringBuilder svg, BreakerState[] states, int rowTop, double secondWidth) {
        int from = 0;
        while (from < states.length) {
            int to = from + 1;
            while (to < states.length && states[to] == states[from]) {
                to++;
            }
            if (states[from] != BreakerState.CLOSED) {
                svg.append(String.format(
                        Locale.ROOT,
                        "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>",
                        ROW_LABEL_WIDTH_PX + from * secondWidth,
                        rowTop + 1,
                        (to - from) * secondWidth,
                        ROW_HEIGHT_PX - 2,
                        states[from] == BreakerState.OPEN ? OPEN_COLOUR : HALF_OPEN_COLOUR));
            }
            from = to;
        }
    }
}
