package org.woadvale.testkit.capacity;

import java.awt.Color;
import java.awt.Font;
import java.awt.Graphics2D;
import java.awt.image.BufferedImage;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import javax.imageio.ImageIO;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;

/** Plots the measured points with their fitted lines: one image per mechanism. */
final class Plot {
    private static final int WIDTH = 320;
    private static final int HEIGHT = 190;
    private static final int COLUMNS = 3;

    private Plot() {}

    private static XYChart chart(String sizeLabel, String figure, Map<Integer, Double> points) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(figure)
                .xAxisTitle(sizeLabel)
                .build();
        chart.getStyler().setLegendVisible(false).setChartTitleFont(new Font("SansSerif", Font.PLAIN, 11));
        chart.getStyler().setYAxisMin(0.0).setChartBackgroundColor(Color.WHITE).setMarkerSize(6);
        List<Integer> x = new ArrayList<>(points.keySet());
        LinearFit fit = LinearFit.of(points);
        chart.addSeries("line", x, x.stream().map(fit::predict).toList()).setMarker(SeriesMarkers.NONE);
        chart.addSeries("measured", x, new ArrayList<>(points.values()))
                .setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter);
        return chart;
    }

    /** Writes NAME.png into the folder. The figures are given by name, each with its points by size. */
    static void write(Path folder, String name, String sizeLabel, Map<String, Map<Integer, Double>> figures)
            throws ServiceException {
        List<XYChart> charts = new ArrayList<>();
        figures.forEach((figure, points) -> charts.add(chart(sizeLabel, figure, points)));
        int columns = Math.min(COLUMNS, charts.size());
        BufferedImage sheet = new BufferedImage(
                columns * WIDTH, (charts.size() + columns - 1) / columns * HEIGHT, BufferedImage.TYPE_BYTE_INDEXED);
        Graphics2D pen = sheet.createGraphics();
        pen.setColor(Color.WHITE);
        pen.fillRect(0, 0, sheet.getWidth(), sheet.getHeight());
        for (int i = 0; i < charts.size(); i++) {
            pen.drawImage(
                    BitmapEncoder.getBufferedImage(charts.get(i)), null, i % columns * WIDTH, i / columns * HEIGHT);
        }
        pen.dispose();
        try {
            ImageIO.write(sheet, "png", folder.resolve(name + ".png").toFile());
        } catch (IOException e) {
            throw new UnavailableException("Cannot write the plot " + name + " into " + folder + ".");
        }
    }
}
