package io.quincelead.simulation;

import java.util.Arrays;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/** Arguments of tests that play one scenario for each case and seed. */
final class ScenarioArguments {
    private ScenarioArguments() {}

    /** Each case with each of the seeds from 1 on. */
    static Stream<Arguments> withSeeds(Object[] cases, int seeds) {
        return Arrays.stream(cases)
                .flatMap(
                        each ->
                                IntStream.rangeClosed(1, seeds)
                                        .mapToObj(seed -> Arguments.of(each, seed)));
    }

    /** Each combination of two kinds of cases with each of the seeds from 1 on. */
    static Stream<Arguments> withSeeds(Object[] cases, Object[] others, int seeds) {
        return Arrays.stream(cases)
                .flatMap(
                        each ->
                                Arrays.stream(others)
                                        .flatMap(
                                                other ->
                                                        IntStream.rangeClosed(1, seeds)
                                                                .mapToObj(
                                                                        seed ->
                                                                                Arguments.of(
                                                                                        each, other,
                                                                                        seed))));
    }
}
