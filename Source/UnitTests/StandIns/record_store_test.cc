#include "StandIns/record_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <limits>
#include <string>

namespace camphorferry::standins {
namespace {

using nlohmann::json;

std::optional<json> Apply(RecordStore* store, const std::string& operations) {
  return store->Apply(request::ParseOperations(json::parse(operations)));
}

/// Random operations on few keys, so that conflicts are frequent.
rc::Gen<request::Operation> AnyOperation() {
  const auto key = rc::gen::element<std::string>("a", "aa", "b", "c");
  const auto value = rc::gen::element<json>(1, "text", nullptr, 7);
  const auto table = rc::gen::element<std::string>("t", "u");
  return rc::gen::mapcat(
      rc::gen::inRange(0, 6), [=](int kind) -> rc::Gen<request::Operation> {
        return rc::gen::map(
            rc::gen::tuple(table, key, value),
            [kind](const std::tuple<std::string, std::string, json>& parts)
                -> request::Operation {
              const auto& [table, key, value] = parts;
              constexpr std::int64_t kAmount = 5;
              switch (kind) {
                case 0:
                  return request::GetOperation{table, key};
                case 1:
                  return request::PutOperation{table, key, value};
                case 2:
                  return request::AddOperation{table, key, kAmount};
                case 3:
                  return request::InsertOperation{table, key, value};
                case 4:
                  return request::DeleteOperation{table, key};
                default:
                  return request::ScanOperation{table, key, 2};
              }
            });
      });
}

class RecordStoreTest : public testing::Test {
 protected:
  RecordStore store;
};

// Guards against operations that don't see the effects of earlier operations of
// their transaction.
TEST_F(RecordStoreTest, Apply_SeveralOperations_SeeEarlierEffects) {
  const auto results = Apply(&this->store, R"([
      {"op":"put","table":"t","key":"k","value":1},
      {"op":"add","table":"t","key":"k","amount":4},
      {"op":"get","table":"t","key":"k"},
      {"op":"delete","table":"t","key":"k"},
      {"op":"get","table":"t","key":"k"},
      {"op":"insert","table":"t","key":"k","value":"new"}])");
  ASSERT_TRUE(results);
  EXPECT_EQ(*results, json::parse("[null, 5, 5, null, null, null]"));
  EXPECT_EQ(this->store.Dump(), json::parse(R"({"t":{"k":"new"}})"));
}

// Guards against a partly applied transaction after a conflict.
TEST_F(RecordStoreTest, Apply_InsertOfExistingKey_ChangesNothing) {
  Apply(&this->store, R"([{"op":"put","table":"t","key":"k","value":"old"}])");
  EXPECT_FALSE(Apply(&this->store, R"([
      {"op":"put","table":"t","key":"k","value":"new"},
      {"op":"put","table":"t","key":"k","value":"newer"},
      {"op":"put","table":"t","key":"other","value":1},
      {"op":"insert","table":"t","key":"k","value":"x"}])"));
  EXPECT_EQ(this->store.Dump(), json::parse(R"({"t":{"k":"old"}})"));
}

// Guards against sums that overflow, and against additions to other values than
// integers.
TEST_F(RecordStoreTest, Apply_AddWithoutIntegerSum_Conflicts) {
  const json largest = std::numeric_limits<std::int64_t>::max();
  const json above = std::numeric_limits<std::uint64_t>::max();
  this->store.Apply({request::PutOperation{"t", "largest", largest},
                     request::PutOperation{"t", "above", above},
                     request::PutOperation{"t", "text", "1"}});
  const json before = this->store.Dump();
  for (const char* key : {"largest", "above", "text"}) {
    EXPECT_FALSE(this->store.Apply({request::AddOperation{"t", key, 1}}));
  }
  EXPECT_EQ(this->store.Dump(), before);
}

// Guards against scans that violate their prefix, table, limit or order.
TEST_F(RecordStoreTest, Read_ScanWithPrefixAndLimit_BoundsTheResult) {
  Apply(&this->store, R"([
      {"op":"put","table":"t","key":"b2","value":2},
      {"op":"put","table":"t","key":"b1","value":1},
      {"op":"put","table":"t","key":"b3","value":3},
      {"op":"put","table":"t","key":"a","value":0},
      {"op":"put","table":"u","key":"b1","value":9}])");
  EXPECT_EQ(
      this->store.Read({request::ScanOperation{"t", "b", 2}}),
      json::parse(R"([[{"key":"b1","value":1},{"key":"b2","value":2}]])"));
  EXPECT_EQ(this->store.Read({request::ScanOperation{"u", "", 9}}),
            json::parse(R"([[{"key":"b1","value":9}]])"));
}

// Guards against statements that are applied in part: afterwards, the records
// are either unchanged or equal to those after executing each operation
// separately.
RC_GTEST_PROP(RecordStoreProperty, Apply_AnyStatement_IsAtomic, ()) {
  RecordStore store;
  const auto statements =
      *rc::gen::container<std::vector<request::Operations>>(rc::gen::nonEmpty(
          rc::gen::container<request::Operations>(AnyOperation())));
  for (const request::Operations& statement : statements) {
    RecordStore singles = store;
    json expected = json::array();
    bool conflict = false;
    for (const request::Operation& operation : statement) {
      const std::optional<json> result = singles.Apply({operation});
      conflict = conflict || !result;
      if (conflict) break;
      expected.push_back(result->front());
    }
    const json before = store.Dump();
    const std::optional<json> results = store.Apply(statement);
    RC_ASSERT(results.has_value() == !conflict);
    RC_ASSERT(store.Dump() == (conflict ? before : singles.Dump()));
    if (results) RC_ASSERT(*results == expected);
  }
}

}  // namespace
}  // namespace camphorferry::standins
