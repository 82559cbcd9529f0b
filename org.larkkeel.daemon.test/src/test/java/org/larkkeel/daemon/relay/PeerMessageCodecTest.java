/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.util.Optional;
import java.util.Random;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.quota.QuotaGrant;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.quota.QuotaLevels;
import org.larkkeel.quota.QuotaRequest;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.RateLimitReport;
import org.larkkeel.relay.RequestRate;
import org.larkkeel.relay.ReservationRequest;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.SuspectScope;
import org.larkkeel.store.StoreVersion;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link PeerMessageCodec}. */
public class PeerMessageCodecTest {
  private static final PeerMessage.Sender SENDER =
      new PeerMessage.Sender(
          new HostName("node-1"),
          new DataCentreName("north"),
          NodeState.YOUNG,
          new FeedChanges(new StoreVersion(1, 7), new StoreVersion(2, 12)),
          ImmutableList.of(
              new RateLimitReport(
                  incarnation("i-1"), Optional.of(RequestRate.perSecond(5.2)), 40_000_000L),
              new RateLimitReport(incarnation("i-2"), Optional.empty(), 7)));
  private static final QuotaKey WORKSPACE = new QuotaKey.OfWorkspace(new WorkspaceName("weavers"));
  private static final ReservationRequest REQUEST =
      new ReservationRequest(
          new RequestId(5),
          "wire-5",
          new ServiceName("model"),
          5_200,
          5_000,
          true,
          false,
          17,
          900,
          new PromptKey("prompt-5"),
          ImmutableSet.of(incarnation("i-4")));
  private static final PeerMessage MESSAGE =
      PeerMessage.of(PeerMessage.Kind.REPORT, SENDER)
          .withLoads(
              ImmutableMap.of(incarnation("i-1"), 17_000L, incarnation("i-2"), 3L),
              ImmutableSet.of(incarnation("i-3")))
          .withRequests(ImmutableList.of(REQUEST))
          .withGrants(
              ImmutableList.of(
                  new ReservationGrant(
                      new RequestId(9), incarnation("i-1"), Optional.of(incarnation("i-2"))),
                  new ReservationGrant(new RequestId(10), incarnation("i-1"), Optional.empty())))
          .withSuspects(
              ImmutableList.of(
                  suspect(
                      "one",
                      0,
                      ImmutableMap.of(incarnation("i-1"), new CrashSuspect.Crash(12, 12))),
                  suspect("two", 3, ImmutableMap.of())));

  private static CrashSuspect suspect(
      String request, int epoch, ImmutableMap<UpstreamIncarnation, CrashSuspect.Crash> crashes) {
    return new CrashSuspect(
        Fingerprint.of(request), SuspectScope.REQUEST, epoch, crashes, ImmutableSet.of());
  }

  private static final QuotaRequest QUOTA_REQUEST =
      new QuotaRequest(
          4,
          17,
          400_000_000L,
          60,
          ImmutableList.of(new QuotaRequest.Demand(WORKSPACE, 3_200, 200, 600, 40)));
  private static final QuotaGrant QUOTA_GRANT =
      new QuotaGrant(
          4, 16, ImmutableList.of(new QuotaGrant.Share(WORKSPACE, 3_800, 20_000, 12_000_000L)));
  private static final QuotaLevels QUOTA_LEVELS =
      new QuotaLevels(
          ImmutableMap.of(WORKSPACE, 7_000L, new QuotaKey.OfUpstream(incarnation("i-1")), 900L));

  /** Returns messages with each kind of part. */
  @DataProvider
  public static Object[][] messages() {
    return new Object[][] {
      {MESSAGE},
      {MESSAGE.withQuota(QUOTA_REQUEST)},
      {MESSAGE.withQuota(QUOTA_GRANT)},
      {MESSAGE.withQuota(QUOTA_LEVELS)}
    };
  }

  private static UpstreamIncarnation incarnation(String name) {
    return new UpstreamIncarnation(new UpstreamName(name), new Incarnation(1_790_000_000_123L));
  }

  /** Messages that were encoded by a node. */
  public static class Written {
    @Test(dataProvider = "messages", dataProviderClass = PeerMessageCodecTest.class)
    public void isDecodedUnchanged(PeerMessage message) {
      assertEquals(
          PeerMessageCodec.fromBytes(PeerMessageCodec.toBytes(message)), Optional.of(message));
    }
  }

  /** Suspects that are more than requests with their crashes. */
  public static class Suspects {
    @Test
    public void keepTheirDetails() {
      ImmutableList<CrashSuspect> suspects =
          ImmutableList.of(
              new CrashSuspect(
                  Fingerprint.of("request"),
                  SuspectScope.REQUEST,
                  0,
                  ImmutableMap.of(
                      incarnation("i-1"), new CrashSuspect.Crash(12, 34, 56),
                      incarnation("i-2"), new CrashSuspect.Crash(5, 6)),
                  ImmutableSet.of(Fingerprint.of("part"), Fingerprint.of("first"))),
              new CrashSuspect(
                  Fingerprint.of("part"),
                  new SuspectScope.PromptPart(4),
                  3,
                  ImmutableMap.of(),
                  ImmutableSet.of(Fingerprint.of("first"))));
      byte[] bytes = PeerMessageCodec.toBytes(MESSAGE.withSuspects(suspects));
      assertEquals(PeerMessageCodec.fromBytes(bytes).orElseThrow().suspects(), suspects);
    }

    @Test(expectedExceptions = IllegalArgumentException.class)
    public void haveNoDetailsOfOtherSuspects() {
      CrashSuspect one = suspect("one", 0, ImmutableMap.of());
      CrashSuspect part =
          new CrashSuspect(
              Fingerprint.of("part"),
              new SuspectScope.PromptPart(1),
              0,
              ImmutableMap.of(),
              ImmutableSet.of());
      byte[] bytes = SuspectDetailsCodec.toBytes(ImmutableList.of(part)).orElseThrow();
      SuspectDetailsCodec.apply(bytes, ImmutableList.of(one, part));
    }
  }

  /** Messages without extensions. */
  public static class WithoutExtensions {
    /** Returns digests of the bytes that revision fb6adde, which knew no extensions, wrote. */
    @DataProvider
    static Object[][] digests() {
      return new Object[][] {
        {MESSAGE, "a000d795c633b064"},
        {MESSAGE.withQuota(QUOTA_REQUEST), "a6acd2e8e23e70c5"},
        {MESSAGE.withQuota(QUOTA_GRANT), "8f44c94455550142"},
        {MESSAGE.withQuota(QUOTA_LEVELS), "a447f2652be1a4ee"}
      };
    }

    @Test(dataProvider = "digests")
    public void keepTheirBytes(PeerMessage message, String digest) {
      byte[] bytes = PeerMessageCodec.toBytes(message);
      assertEquals(Hashing.sha256().hashBytes(bytes).toString().substring(0, 16), digest);
    }
  }

  /** Bytes that are no valid message. */
  public static class Garbage {
    @Test
    public void isRejectedOrDecodedConsistently() {
      Random random = new Random(1);
      for (int i = 0; i < 2_000; i++) {
        byte[] bytes = new byte[random.nextInt(60)];
        random.nextBytes(bytes);
        PeerMessageCodec.fromBytes(bytes)
            .ifPresent(
                m ->
                    assertEquals(
                        PeerMessageCodec.fromBytes(PeerMessageCodec.toBytes(m)), Optional.of(m)));
      }
    }

    @Test(dataProvider = "messages", dataProviderClass = PeerMessageCodecTest.class)
    public void isRejectedWhenTruncated(PeerMessage message) {
      byte[] complete = PeerMessageCodec.toBytes(message);
      for (int length = 0; length < complete.length; length++) {
        byte[] truncated = java.util.Arrays.copyOf(complete, length);
        assertEquals(PeerMessageCodec.fromBytes(truncated), Optional.empty(), "length " + length);
      }
    }
  }
}
