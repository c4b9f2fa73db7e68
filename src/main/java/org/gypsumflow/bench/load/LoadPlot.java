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

/** Draws the worth of each second of some patterns. */
final class LoadPlot {
    private static final int WIDTH_PIXELS = 1000;
    private static final int HEIGHT_PIXELS = 500;

    private LoadPlot() {}

    static void write(Path file, Map<String, List<LoadReport>> reports) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title("Worth of each second, mean of all seeds")
                .xAxisTitle("seconds")
                .yAxisTitle("earned / owed")
                .build();
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(1.0);
        int seconds = (int) LoadPattern.ARRIVAL_DURATION.toSeconds();
        double[] axis = IntStream.range(0, seconds).asDoubleStream().toArray();
        reports.forEach((name, played) -> {
            double[] worth = IntStream.range(0, seconds)
                    .mapToDouble(second -> played.stream()
                            .mapToDouble(report -> report.valueRatioOfSecond(second))
                            .average()
                            .orElse(0))
                    .toArray();
            chart.addSeries(name, axis, worth).setMarker(SeriesMarkers.NONE);
        });
        try {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapFormat.PNG);
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }
}
