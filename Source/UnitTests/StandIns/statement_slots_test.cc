#include "StandIns/statement_slots.h"

#include <gtest/gtest.h>

#include <vector>

namespace camphorferry::standins {
namespace {

class StatementSlotsTest : public testing::Test {
 protected:
  bool Submit(int statement) {
    return this->slots.Submit(
        [this, statement] { this->started.push_back(statement); });
  }

  StatementSlots slots{2, 2};
  std::vector<int> started;
};

// Guards against more concurrent statements than the database has slots.
TEST_F(StatementSlotsTest, Submit_AllSlotsTaken_WaitsInOrder) {
  for (const int statement : {1, 2, 3, 4}) EXPECT_TRUE(this->Submit(statement));
  EXPECT_EQ(this->started, (std::vector<int>{1, 2}));
  this->slots.Release();
  EXPECT_EQ(this->started, (std::vector<int>{1, 2, 3}));
  EXPECT_EQ(this->slots.Running(), 2U);
}

// Guards against a queue that grows without bound.
TEST_F(StatementSlotsTest, Submit_FullQueue_IsRejected) {
  for (const int statement : {1, 2, 3, 4}) this->Submit(statement);
  EXPECT_FALSE(this->Submit(5));
  this->slots.Release();
  EXPECT_TRUE(this->Submit(6));
}

// Guards against slots that leak when the queue is empty.
TEST_F(StatementSlotsTest, Release_EmptyQueue_FreesTheSlot) {
  this->Submit(1);
  this->slots.Release();
  EXPECT_EQ(this->slots.Running(), 0U);
}

}  // namespace
}  // namespace camphorferry::standins
