package io.quincelead.simulation;

import java.util.Arrays;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/** Arguments of tests that run one scenario for each case and seed. */
final class ScenarioArguments {
    private ScenarioArguments() {}

    /** Combines each case with each of the seeds from 1 to {@code seeds}. */
    static Stream<Arguments> withSeeds(Object[] cases, int seeds) {
        return Arrays.stream(cases)
                .flatMap(
                        testCase ->
                                IntStream.rangeClosed(1, seeds)
                                        .mapToObj(seed -> Arguments.of(testCase, seed)));
    }

    /**
     * Combines each pair of a case and another case with each of the seeds from 1 to {@code seeds}.
     */
    static Stream<Arguments> withSeeds(Object[] cases, Object[] otherCases, int seeds) {
        return Arrays.stream(cases)
                .flatMap(
                        testCase ->
                                Arrays.stream(otherCases)
                                        .flatMap(
                                                otherCase ->
                                                        IntStream.rangeClosed(1, seeds)
                                                                .mapToObj(
                                                                        seed ->
                                                                                Arguments.of(
                                                                                        testCase,
                                                                                        otherCase,
                                                                                        seed))));
    }
}
