package org.gypsumflow.bench.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws the value ratio of each second of the simulated patterns. */
final class LoadPlot {
    private static final int WIDTH_PIXELS = 1000;
    private static final int HEIGHT_PIXELS = 500;

    private LoadPlot() {}

    static void write(Path file, Map<String, List<LoadReport>> reports) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title("Value ratio per second, mean of all seeds")
                .xAxisTitle("seconds")
                .yAxisTitle("earned / maximum value")
                .build();
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(1.0);
        int seconds = (int) LoadPattern.ARRIVAL_DURATION.toSeconds();
        double[] secondAxis = IntStream.range(0, seconds).asDoubleStream().toArray();
        reports.forEach((name, seedReports) -> {
            double[] valueRatios = IntStream.range(0, seconds)
                    .mapToDouble(second -> seedReports.stream()
                            .mapToDouble(report -> report.valueRatioOfSecond(second))
                            .average()
                            .orElse(0))
                    .toArray();
            chart.addSeries(name, secondAxis, valueRatios).setMarker(SeriesMarkers.NONE);
        });
        try {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapFormat.PNG);
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }
}
